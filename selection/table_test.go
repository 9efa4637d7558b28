package selection_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/selection"
)

func TestPickOfEmptyTable(t *testing.T) {
	var table selection.Table
	require.Equal(t, -1, table.Pick(1, nil, nil))
}

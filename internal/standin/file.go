package standin

import (
	"os"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// ReadFile sets v from the JSON of a file, as config.Decode does.
func ReadFile(file string, v any) error {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file on the command line
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(config.Decode(data, v), file)
}

package standin

import (
	"os"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
)

// ReadFile decodes the JSON content of a file into v with config.Decode.
func ReadFile(file string, v any) error {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file on the command line
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(config.Decode(data, v), file)
}

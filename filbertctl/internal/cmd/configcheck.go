package cmd

import (
	"io"

	"filbertworks.example/filbertworks/config"
)

// A configCheck checks a configuration in a file.
type configCheck struct {
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true" description:"File with a document or publication"`
	} `positional-args:"yes"`

	config *Config
}

// A Summary holds the numbers of items of a configuration.
type Summary struct {
	Version   config.Version `json:"version,omitempty"`
	Keys      int            `json:"keys"`
	Zones     int            `json:"zones"`
	Services  int            `json:"services"`
	Upstreams int            `json:"upstreams"`
}

// Execute runs the subcommand.
func (o *configCheck) Execute([]string) error {
	version, document, err := o.config.readDocument(o.Arguments.File)
	if err != nil {
		return err
	}
	s := summaryOf(version, document)
	return o.config.write(s, func(w io.Writer) {
		printf(w, "%s: ok: %d keys, %d zones, %d services, %d upstreams\n",
			o.Arguments.File, s.Keys, s.Zones, s.Services, s.Upstreams)
	})
}

func summaryOf(version config.Version, d *config.Document) Summary {
	s := Summary{
		Version:  version,
		Keys:     len(d.Keys),
		Zones:    len(d.Zones),
		Services: len(d.Services),
	}
	for i := range d.Services {
		s.Upstreams += len(d.Services[i].Upstreams)
	}
	return s
}

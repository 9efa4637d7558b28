package cmd

import "filbertworks.example/filbertworks/config"

// A zoneIn takes a zone back in.
type zoneIn struct {
	zoneOptions
}

// Execute runs the subcommand.
func (o *zoneIn) Execute([]string) error {
	return o.set(config.ZoneIn)
}

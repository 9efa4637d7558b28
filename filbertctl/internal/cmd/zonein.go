package cmd

import "filbertworks.example/filbertworks/config"

// A zoneIn puts a zone back into service.
type zoneIn struct {
	zoneOptions
}

// Execute runs the subcommand.
func (o *zoneIn) Execute([]string) error {
	return o.set(config.ZoneIn)
}

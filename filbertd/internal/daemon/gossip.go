package daemon

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// beat sends the heartbeats that are due.
func (d *Daemon) beat(now time.Time) {
	for _, m := range d.tracker.Tick(now) {
		d.frame = wire.AppendHeartbeat(d.frame[:0], &m.Heartbeat)
		if _, err := d.relay.WriteToUDPAddrPort(d.frame, m.To); err != nil {
			d.counters.add("heartbeat", "send")
		}
	}
}

// hear takes a heartbeat.
func (d *Daemon) hear(now time.Time, from netip.AddrPort, data []byte) {
	var h member.Heartbeat
	if err := wire.ParseHeartbeat(data, &h); err != nil {
		d.counters.add("drop", err.Error())
		return
	}
	hearing := d.tracker.HandleHeartbeat(now, from, &h)
	if !hearing.Known {
		d.counters.add("drop", "unknown-peer")
		return
	}
	if hearing.Conflict {
		d.counters.add("config", "conflict")
	}
	version, _ := d.history.Current()
	if h.Sender.Version > version {
		d.puller.Offer(now, h.Sender.Control, h.Sender.Version)
		d.pull(now)
	}
	if hearing.AnswersProbe {
		d.trust.PeerConfirmed(h.Sender.Version)
	}
}

// updateTrust notices pauses and reports whether the process may act on its view
// and configuration; where it may not, the outlet sends nothing.
func (d *Daemon) updateTrust(now time.Time) bool {
	if since, paused := d.trust.Tick(now); paused {
		d.tracker.HandleResume(now, since)
		d.counters.add("pause", "")
		d.log.Warnf("member: the process was paused for %v", now.Sub(since).Round(time.Millisecond))
	}
	version, _ := d.history.Current()
	trusted := version > 0 && d.trust.Confirmed(now, version)
	d.tracker.SetProbing(!trusted)
	d.outlet.muted = !trusted
	return trusted
}

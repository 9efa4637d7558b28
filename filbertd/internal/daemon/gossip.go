package daemon

import (
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// sendHeartbeats sends the heartbeats to peers that are due.
func (d *Daemon) sendHeartbeats(now time.Time) {
	for _, m := range d.tracker.Tick(now) {
		d.frame = wire.AppendHeartbeat(d.frame[:0], &m.Heartbeat)
		if _, err := d.relay.WriteToUDPAddrPort(d.frame, m.To); err != nil {
			d.counters.add("heartbeat", "send")
		}
	}
}

// handleHeartbeat merges a peer's heartbeat into the member view. It pulls the
// peer's configuration if that is newer.
func (d *Daemon) handleHeartbeat(now time.Time, from netip.AddrPort, data []byte) {
	var h member.Heartbeat
	if err := wire.ParseHeartbeat(data, &h); err != nil {
		d.counters.add("drop", err.Error())
		return
	}
	result := d.tracker.HandleHeartbeat(now, from, &h)
	if !result.Known {
		d.counters.add("drop", "unknown-peer")
		return
	}
	if result.Conflict {
		d.counters.add("config", "conflict")
	}
	version, _ := d.history.Current()
	if h.Sender.Version > version {
		d.puller.Offer(now, h.Sender.Control, h.Sender.Version)
		d.pull(now)
	}
	if result.AnswersProbe {
		d.freshness.PeerConfirmed(h.Sender.Version)
	}
}

// updateFreshness detects whether the process was paused, and reports whether it
// may act on its view and configuration. If not, it fences the transport and
// makes every heartbeat ask for an answer.
func (d *Daemon) updateFreshness(now time.Time) bool {
	if since, paused := d.freshness.Tick(now); paused {
		d.tracker.HandleResume(now, since)
		d.counters.add("pause", "")
		d.log.Warnf("member: the process was paused for %v", now.Sub(since).Round(time.Millisecond))
	}
	version, _ := d.history.Current()
	confirmed := version > 0 && d.freshness.Confirmed(now, version)
	d.tracker.SetProbing(!confirmed)
	d.transport.fenced = !confirmed
	return confirmed
}

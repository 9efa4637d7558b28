package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"filbertworks.example/filbertworks/config"
)

// Sizes of a heartbeat on the network in bytes: the IPv4 and UDP headers, and
// the encoding of package wire for names of typical length.
const (
	datagramBytes = 28
	headerBytes   = 22
	recordBytes   = 71
)

func heartbeatBytes(h *Heartbeat) int {
	return datagramBytes + headerBytes + recordBytes*(1+len(h.Records))
}

// BenchmarkFleet reports, for fleets of several sizes in four zones with 2 %
// loss, how much one member sends, how long a death takes to be known
// everywhere and how long a new version takes.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{9, 100, 500} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			var bytes, messages, death, version, longest float64
			for i := range b.N {
				f := newFleet(uint64(i), 4, size)
				f.loss = 0.02
				f.size = heartbeatBytes
				f.mergeAll()
				f.run(10 * time.Second)
				f.bytes, f.messages = 0, 0
				f.run(10 * time.Second)
				bytes += float64(f.bytes) / 10 / float64(size)
				messages += float64(f.messages) / 10 / float64(size)
				version += f.propagateVersion().Seconds()
				killed := f.processes[i%size]
				killed.down = true
				took := f.runUntil(time.Minute, func() bool { return f.believedDead(killed) }).Seconds()
				death += took
				longest = max(longest, took)
			}
			n := float64(b.N)
			b.ReportMetric(bytes/n, "B/s/member")
			b.ReportMetric(messages/n, "msg/s/member")
			b.ReportMetric(death/n, "s/death")
			b.ReportMetric(longest, "s/death-max")
			b.ReportMetric(version/n, "s/version")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// mergeAll makes all processes known to each other without leaving anything to
// gossip.
func (f *fleet) mergeAll() {
	for _, p := range f.processes {
		p.tracker.self.Joining = false
	}
	for _, p := range f.processes {
		for _, o := range f.processes {
			p.tracker.Merge(f.now, &o.tracker.self)
		}
		clear(p.tracker.pending)
	}
}

// believedDead reports whether p is dead in the views of all running processes.
func (f *fleet) believedDead(p *process) bool {
	for _, o := range f.running() {
		if o.tracker.members[p.self.Incarnation].record.State != Dead {
			return false
		}
	}
	return true
}

// propagateVersion announces a version at one process, and at every other one
// as soon as a member that it knows has announced it, and returns how long that
// takes.
func (f *fleet) propagateVersion() time.Duration {
	const v = config.Version(7)
	f.processes[0].tracker.AnnounceVersion(v, 1)
	return f.runUntil(time.Minute, func() bool {
		done := true
		for _, p := range f.processes {
			if p.tracker.self.Version == v {
				continue
			}
			done = false
			for _, m := range p.tracker.members {
				if m.record.Version == v {
					p.tracker.AnnounceVersion(v, 1)
					break
				}
			}
		}
		return done
	})
}

// BenchmarkTick reports the processor time that one member of an idle region
// needs for one second of ticks and received heartbeats.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{9, 100, 500, 2000} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			f := newFleet(1, 4, size)
			p := f.processes[0]
			for _, o := range f.processes[1:] {
				p.tracker.Merge(f.now, &o.tracker.self)
			}
			clear(p.tracker.pending)
			p.tracker.self.Joining = false
			now := f.now
			p.tracker.Tick(now)
			var observed []*process
			for _, o := range f.processes[1:] {
				if !p.tracker.members[o.self.Incarnation].waitingSince.IsZero() {
					observed = append(observed, o)
				}
			}
			b.ResetTimer()
			for range b.N {
				for i := range int(time.Second / step) {
					now = now.Add(step)
					p.tracker.Tick(now)
					if i%int(HeartbeatInterval/step) != 0 {
						continue
					}
					for _, o := range observed {
						p.tracker.HandleHeartbeat(now, o.self.Relay, &Heartbeat{
							Sender:  o.tracker.self,
							Records: []Record{observed[0].tracker.self, o.tracker.self},
						})
					}
				}
			}
			b.ReportMetric(float64(len(observed)), "observed")
		})
	}
}

// BenchmarkView reports the memory that the view of a region uses, with its
// table.
func BenchmarkView(b *testing.B) {
	const size = 2000
	f := newFleet(1, 4, size)
	vms := f.listedVMs()
	records := make([]Record, 0, size)
	for _, p := range f.processes {
		records = append(records, p.tracker.self)
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := NewTracker(f.now, f.processes[0].self, f.rand)
		t.SetVMs(f.now, vms)
		for i := range records {
			t.Merge(f.now, &records[i])
		}
		t.Tick(f.now)
		t.Table()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(t)
	}
}

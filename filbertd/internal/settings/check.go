package settings

import (
	"fmt"
	"math/bits"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/config"
)

// Descriptions of the values that are allowed at a key.
const (
	allowedAddress  = "an IP address and a port, such as \"127.0.0.1:7400\""
	allowedFormat   = "\"text\" or \"json\""
	allowedIP       = "an IP address"
	allowedLevel    = "\"debug\", \"info\", \"warning\" or \"error\""
	allowedSpecific = "an IP address other than the unspecified one, and a port"
	allowedURL      = "a URL such as \"http://127.0.0.1:7300\", without query"
)

// foundNothing is the value of Fault.Found for a missing key.
const foundNothing = "nothing"

// A checker collects the faults of settings.
type checker struct {
	faults []Fault
}

func (c *checker) add(key, found, allowed string) {
	c.faults = append(c.faults, Fault{
		Key:     key,
		Found:   found,
		Allowed: allowed,
	})
}

func (c *checker) address(key string, a netip.AddrPort, allowed string) bool {
	if a == (netip.AddrPort{}) {
		c.add(key, foundNothing, allowed)
		return false
	}
	if !a.IsValid() || a.Port() == 0 {
		c.add(key, quote(a), allowed)
		return false
	}
	return true
}

func (c *checker) integer(key string, v, low, high int) {
	if v < low || v > high {
		c.add(key, fmt.Sprint(v), integerRange(low, high))
	}
}

func (c *checker) log(l Log) {
	if l.Level < logrus.ErrorLevel || l.Level > logrus.DebugLevel {
		c.add("log.level", quote(l.Level), allowedLevel)
	}
	if l.Format != FormatText && l.Format != FormatJSON {
		c.add("log.format", quote(l.Format), allowedFormat)
	}
}

func (c *checker) name(key, name string) {
	allowed := fmt.Sprintf("a name of up to %d bytes without spaces and slashes", config.MaxNameSize)
	if name == "" {
		c.add(key, foundNothing, allowed)
		return
	}
	if len(name) > config.MaxNameSize || strings.ContainsAny(name, " \t\r\n/") {
		c.add(key, quote(name), allowed)
	}
}

func (c *checker) platform(p Platform) {
	if p.URL == nil {
		c.add("platform.url", foundNothing, allowedURL)
	} else if !validPlatformURL(p.URL) {
		c.add("platform.url", quote(p.URL), allowedURL)
	}
	if p.Timeout < MinPlatformTimeout || p.Timeout > MaxPlatformTimeout {
		c.add("platform.timeout", quote(p.Timeout), durationRange(MinPlatformTimeout, MaxPlatformTimeout))
	}
}

func (c *checker) queue(v int) {
	if v < MinQueueSize || v > MaxQueueSize || bits.OnesCount(uint(v)) != 1 {
		c.add("limits.queue", fmt.Sprint(v), fmt.Sprintf("a power of two from %d to %d", MinQueueSize, MaxQueueSize))
	}
}

func (c *checker) settings(s *Settings) {
	c.name("name", s.Name)
	c.name("zone", s.Zone)
	c.specificAddress("relay.listen", s.Relay.Listen)
	c.specificAddress("control.listen", s.Control.Listen)
	if c.address("admin.listen", s.Admin.Listen, allowedAddress) && s.Admin.Listen == s.Control.Listen {
		c.add("admin.listen", quote(s.Admin.Listen), "another address than control.listen")
	}
	c.platform(s.Platform)
	c.log(s.Log)
	c.integer("limits.flows", s.Limits.Flows, 1, MaxFlowLimit)
	c.integer("limits.requests", s.Limits.Requests, 1, MaxRequestLimit)
	c.queue(s.Limits.Queue)
}

// specificAddress checks an address by which peers reach the balancer: it must
// not be the unspecified address.
func (c *checker) specificAddress(key string, a netip.AddrPort) {
	if c.address(key, a, allowedSpecific) && a.Addr().IsUnspecified() {
		c.add(key, quote(a), allowedSpecific)
	}
}

func durationRange(low, high time.Duration) string {
	return fmt.Sprintf("a duration from %v to %v, such as \"2s\"", low, high)
}

func integerRange(low, high int) string {
	return fmt.Sprintf("an integer from %d to %d", low, high)
}

func quote(v any) string {
	return fmt.Sprintf("%q", fmt.Sprint(v))
}

func validPlatformURL(u *url.URL) bool {
	if u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	return u.Host != "" && u.RawQuery == "" && u.Fragment == ""
}

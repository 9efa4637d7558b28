package cmd

import (
	"encoding/base64"
	"encoding/hex"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// An addressFlag is a flag with an IP address and a port.
type addressFlag struct {
	netip.AddrPort
}

// UnmarshalFlag parses the flag's value.
func (f *addressFlag) UnmarshalFlag(value string) error {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return eris.Errorf("%q is not an IP address and a port, such as 127.0.0.1:7402", value)
	}
	f.AddrPort = a
	return nil
}

// A hexFlag is a flag with bytes in hexadecimal digits.
type hexFlag struct {
	bytes []byte
}

// UnmarshalFlag parses the flag's value.
func (f *hexFlag) UnmarshalFlag(value string) error {
	b, err := hex.DecodeString(value)
	if err != nil {
		return eris.Errorf("%q is not an even number of hexadecimal digits", value)
	}
	f.bytes = b
	return nil
}

// A ticketFlag is a flag with bytes in unpadded base64url.
type ticketFlag struct {
	bytes []byte
}

// UnmarshalFlag parses the flag's value.
func (f *ticketFlag) UnmarshalFlag(value string) error {
	b, err := base64.RawURLEncoding.DecodeString(value)
	if err != nil {
		return eris.Errorf("%q is not unpadded base64url", value)
	}
	f.bytes = b
	return nil
}

// A urlFlag is a flag with the URL of the platform.
type urlFlag struct {
	url.URL
}

// UnmarshalFlag parses the flag's value.
func (f *urlFlag) UnmarshalFlag(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return eris.Errorf("%q is not a URL such as http://127.0.0.1:7300", value)
	}
	f.URL = *u
	return nil
}

// waitOptions are the options of subcommands that wait for a state.
type waitOptions struct {
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" default:"10m" description:"Maximum time to wait"`
	Interval time.Duration `long:"interval" value-name:"DURATION" default:"1s" description:"Time between two polls"`
}

// check returns a usage error if a duration is not positive.
func (o *waitOptions) check() error {
	if o.Timeout <= 0 || o.Interval <= 0 {
		return usageErrorf("--timeout and --interval must be above zero")
	}
	return nil
}

// submitOptions are the options of subcommands that submit a patch.
type submitOptions struct {
	Platform urlFlag `long:"platform" value-name:"URL" required:"true" description:"URL of the platform"`
	DryRun   bool    `long:"dry-run" description:"Check and print the patch without submitting it"`
	Wait     bool    `long:"wait" description:"Wait until the change is in force at all balancers and done"`
	waitOptions
}

package wire

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
)

// First bytes of datagrams on shared load. They differ from the formats of other datagrams
// between balancers.
const (
	loadReportFormat = 0xf7
	loadDigestFormat = 0xf8
)

// MaxLoadDatagram is the maximum size of a datagram on shared load, in bytes.
const MaxLoadDatagram = 1200

// partTicket is the ticket of an entry without load, the first one of each datagram of a
// message that takes several. No upstream has this ticket.
const partTicket = 0

// Limits of decoded values, which are beyond those of any balancer.
const (
	maxLoadFlows   = 1 << 20
	maxLoadWorking = 1 << 16
	maxLoadAnswers = 1 << 16
	maxLoadPeriod  = time.Minute
	maxLoadAge     = time.Minute
	maxLoadNumber  = 1 << 16
	// maxLoadRatio is the largest exponent to base 2 of a ratio, in sixteenths.
	maxLoadRatio = 10 * loadSteps
	// maxLoadName is the maximum length of names of zones and services, in bytes.
	maxLoadName = 255
)

// loadSteps is the number of units of a request, a slot or an exponent in messages.
const loadSteps = 16

// Errors on datagrams on shared load.
var (
	// ErrLoadReport reports a datagram that is not a load report of this format.
	ErrLoadReport = eris.New("malformed load report")
	// ErrLoadDigest reports a datagram that is not a load digest of this format.
	ErrLoadDigest = eris.New("malformed shared load digest")
	// ErrLoadSize reports a message that cannot be split into datagrams of a size.
	ErrLoadSize = eris.New("load message exceeds the size of a datagram")
)

// AppendLoadReport appends the datagrams for r to datagrams. Each has at most maxSize
// and MaxLoadDatagram bytes;
// the parts of a larger report have the same sequence. The error is ErrLoadSize.
func AppendLoadReport(datagrams [][]byte, r *load.Report, maxSize int) ([][]byte, error) {
	return appendReport(datagrams, r, r.Samples, r.Partial, min(maxSize, MaxLoadDatagram))
}

func appendReport(datagrams [][]byte, r *load.Report, samples []load.Sample, partial bool, maxSize int) ([][]byte, error) {
	data, err := marshalLoad(loadReportFormat, newLoadReport(r, samples, partial))
	if err != nil {
		return datagrams, err
	}
	if len(data) <= maxSize {
		return append(datagrams, data), nil
	}
	if len(samples) < 2 {
		return datagrams, ErrLoadSize
	}
	half := len(samples) / 2
	if datagrams, err = appendReport(datagrams, r, samples[:half], true, maxSize); err != nil {
		return datagrams, err
	}
	return appendReport(datagrams, r, samples[half:], true, maxSize)
}

func newLoadReport(r *load.Report, samples []load.Sample, partial bool) *LoadReport {
	x := &LoadReport{
		Sender:   r.Sender,
		Sequence: r.Sequence,
		Period:   milliseconds(r.Period),
		Group:    uint32(max(r.Group, 0)),
	}
	if partial {
		samples = append([]load.Sample{{Ticket: partTicket}}, samples...)
	}
	for i := range samples {
		s := &samples[i]
		light, lightRatio := cellColumns(s.Answers.Light)
		loaded, loadedRatio := cellColumns(s.Answers.Loaded)
		x.Tickets = append(x.Tickets, uint32(s.Ticket))
		x.Flows = append(x.Flows, uint32(min(max(s.Flows, 0), maxLoadFlows)))
		x.Working = append(x.Working, sixteenths(s.Working))
		x.Light = append(x.Light, light)
		x.LightRatios = append(x.LightRatios, lightRatio)
		x.Loaded = append(x.Loaded, loaded)
		x.LoadedRatios = append(x.LoadedRatios, loadedRatio)
		x.Quick = append(x.Quick, uint32(min(max(s.Answers.Quick, 0), maxLoadAnswers)))
	}
	x.Flows, x.Working = nonzero(x.Flows), nonzero(x.Working)
	x.Light, x.LightRatios = nonzero(x.Light), nonzero(x.LightRatios)
	x.Loaded, x.LoadedRatios = nonzero(x.Loaded), nonzero(x.LoadedRatios)
	x.Quick = nonzero(x.Quick)
	return x
}

// IsLoadReport reports whether data is a load report rather than another datagram.
func IsLoadReport(data []byte) bool {
	return len(data) > 0 && data[0] == loadReportFormat
}

// ParseLoadReport returns the report, or the part of one, of a datagram. Values out of range
// are clamped. The error is ErrLoadReport.
func ParseLoadReport(data []byte) (*load.Report, error) {
	x := &LoadReport{}
	if !IsLoadReport(data) || len(data) > MaxLoadDatagram || proto.Unmarshal(data[1:], x) != nil {
		return nil, ErrLoadReport
	}
	n := len(x.GetTickets())
	if !columns(n, len(x.GetFlows()), len(x.GetWorking()), len(x.GetLight()), len(x.GetLightRatios()),
		len(x.GetLoaded()), len(x.GetLoadedRatios()), len(x.GetQuick())) {
		return nil, ErrLoadReport
	}
	r := &load.Report{
		Sender:   x.GetSender(),
		Sequence: x.GetSequence(),
		Period:   min(duration(x.GetPeriod()), maxLoadPeriod),
		Group:    int(min(x.GetGroup(), maxLoadNumber)),
		Samples:  make([]load.Sample, 0, n),
	}
	for i, t := range x.GetTickets() {
		if t == partTicket {
			r.Partial = true
			continue
		}
		r.Samples = append(r.Samples, load.Sample{
			Ticket:  directory.Ticket(t),
			Flows:   clamped(x.GetFlows(), i, maxLoadFlows),
			Working: number(x.GetWorking(), i),
			Answers: capacity.Observation{
				Light:  cell(x.GetLight(), x.GetLightRatios(), i),
				Loaded: cell(x.GetLoaded(), x.GetLoadedRatios(), i),
				Quick:  clamped(x.GetQuick(), i, maxLoadAnswers),
			},
		})
	}
	return r, nil
}

// AppendLoadDigest appends the datagrams for d to datagrams. Each has at most maxSize
// and MaxLoadDatagram bytes;
// the parts of a larger digest have the same sequence. The error is ErrLoadSize.
func AppendLoadDigest(datagrams [][]byte, now time.Time, d *load.Digest, maxSize int) ([][]byte, error) {
	return appendDigest(datagrams, now, d, min(maxSize, MaxLoadDatagram))
}

func appendDigest(datagrams [][]byte, now time.Time, d *load.Digest, maxSize int) ([][]byte, error) {
	x, err := newLoadDigest(now, d)
	if err != nil {
		return datagrams, err
	}
	data, err := marshalLoad(loadDigestFormat, x)
	if err != nil {
		return datagrams, err
	}
	if len(data) <= maxSize {
		return append(datagrams, data), nil
	}
	totals, zones := len(d.Totals)/2, len(d.Zones)/2
	if totals+zones == 0 {
		if len(d.Totals) == 0 || len(d.Zones) == 0 {
			return datagrams, ErrLoadSize
		}
		totals = len(d.Totals)
	}
	first, second := *d, *d
	first.Partial, second.Partial = true, true
	first.Totals, second.Totals = d.Totals[:totals], d.Totals[totals:]
	first.Zones, second.Zones = d.Zones[:zones], d.Zones[zones:]
	if datagrams, err = appendDigest(datagrams, now, &first, maxSize); err != nil {
		return datagrams, err
	}
	return appendDigest(datagrams, now, &second, maxSize)
}

func newLoadDigest(now time.Time, d *load.Digest) (*LoadDigest, error) {
	x := &LoadDigest{
		Origin:    d.Origin,
		Sequence:  d.Sequence,
		Group:     uint32(max(d.Group, 0)),
		Groups:    uint32(max(d.Groups, 0)),
		Balancers: uint32(max(d.Balancers, 0)),
	}
	totals := d.Totals
	if d.Partial {
		totals = append([]load.Total{{Ticket: partTicket}}, totals...)
	}
	for i := range totals {
		t := &totals[i]
		x.Tickets = append(x.Tickets, uint32(t.Ticket))
		x.Flows = append(x.Flows, uint32(min(max(t.Flows, 0), maxTotalFlows)))
		x.Working = append(x.Working, sixteenths(t.Working))
		c := sixteenths(t.Capacity)
		if t.Capacity > 0 {
			// Zero would be unknown.
			c = max(c, 1)
		}
		x.Capacities = append(x.Capacities, c)
		x.Answers = append(x.Answers, uint32(min(max(t.Answers, 0), maxLoadAnswers)))
	}
	x.Flows, x.Working = nonzero(x.Flows), nonzero(x.Working)
	x.Capacities, x.Answers = nonzero(x.Capacities), nonzero(x.Answers)
	for i := range d.Zones {
		z := &d.Zones[i]
		if len(z.Zone) > maxLoadName || len(z.Service) > maxLoadName {
			return nil, ErrLoadSize
		}
		row := &ZoneLoad{
			Zone:     z.Zone,
			Service:  z.Service,
			Group:    uint32(max(z.Group, 0)),
			Working:  sixteenths(z.Working),
			Capacity: sixteenths(z.Capacity),
			Free:     sixteenths(z.Free),
			Age:      milliseconds(now.Sub(z.At)),
		}
		for _, h := range z.Slow {
			row.Slow = append(row.Slow, uint32(h.Ticket))
			row.SlowCapacities = append(row.SlowCapacities, sixteenths(h.Capacity))
		}
		x.Zones = append(x.Zones, row)
	}
	return x, nil
}

// IsLoadDigest reports whether data is a load digest rather than another datagram.
func IsLoadDigest(data []byte) bool {
	return len(data) > 0 && data[0] == loadDigestFormat
}

// ParseLoadDigest returns the digest, or the part of one, of a datagram that came at now.
// Values out of range are clamped. The error is ErrLoadDigest.
func ParseLoadDigest(now time.Time, data []byte) (*load.Digest, error) {
	x := &LoadDigest{}
	if !IsLoadDigest(data) || len(data) > MaxLoadDatagram || proto.Unmarshal(data[1:], x) != nil {
		return nil, ErrLoadDigest
	}
	n := len(x.GetTickets())
	if !columns(n, len(x.GetFlows()), len(x.GetWorking()), len(x.GetCapacities()), len(x.GetAnswers())) {
		return nil, ErrLoadDigest
	}
	d := &load.Digest{
		Origin:    x.GetOrigin(),
		Sequence:  x.GetSequence(),
		Group:     int(min(x.GetGroup(), maxLoadNumber)),
		Groups:    int(min(x.GetGroups(), maxLoadNumber)),
		Balancers: int(min(x.GetBalancers(), maxLoadNumber)),
		Totals:    make([]load.Total, 0, n),
	}
	for i, t := range x.GetTickets() {
		if t == partTicket {
			d.Partial = true
			continue
		}
		d.Totals = append(d.Totals, load.Total{
			Ticket:   directory.Ticket(t),
			Flows:    clamped(x.GetFlows(), i, maxTotalFlows),
			Working:  number(x.GetWorking(), i),
			Capacity: number(x.GetCapacities(), i),
			Answers:  clamped(x.GetAnswers(), i, maxLoadAnswers),
		})
	}
	for _, z := range x.GetZones() {
		if len(z.GetZone()) > maxLoadName || len(z.GetService()) > maxLoadName || len(z.GetSlow()) != len(z.GetSlowCapacities()) {
			return nil, ErrLoadDigest
		}
		d.Zones = append(d.Zones, load.ZoneTotal{
			Zone:     z.GetZone(),
			Service:  z.GetService(),
			Group:    int(min(z.GetGroup(), maxLoadNumber)),
			Working:  fromSixteenths(z.GetWorking()),
			Capacity: fromSixteenths(z.GetCapacity()),
			Free:     fromSixteenths(z.GetFree()),
			Slow:     slowHosts(z),
			At:       now.Add(-min(duration(z.GetAge()), maxLoadAge)),
		})
	}
	return d, nil
}

// slowHosts returns the slow hosts of a zone's load.
func slowHosts(z *ZoneLoad) []load.SlowHost {
	if len(z.GetSlow()) == 0 {
		return nil
	}
	hosts := make([]load.SlowHost, 0, len(z.GetSlow()))
	for i, t := range z.GetSlow() {
		hosts = append(hosts, load.SlowHost{
			Ticket:   directory.Ticket(t),
			Capacity: number(z.GetSlowCapacities(), i),
		})
	}
	return hosts
}

// maxTotalFlows is the limit of the flows of an upstream over all balancers.
const maxTotalFlows = 1 << 28

// marshalLoad returns the datagram of a format for m.
func marshalLoad(format byte, m proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{format}, m)
	return data, eris.Wrap(err, "marshal load")
}

// cell returns the i-th cell of two columns.
func cell(answers []uint32, ratios []int32, i int) capacity.Cell {
	c := capacity.Cell{Answers: clamped(answers, i, maxLoadAnswers)}
	if c.Answers == 0 {
		return capacity.Cell{}
	}
	c.Ratio = 1
	if i < len(ratios) {
		c.Ratio = math.Exp2(float64(min(max(ratios[i], -maxLoadRatio), maxLoadRatio)) / loadSteps)
	}
	return c
}

// cellColumns returns the entries of a cell. One without answers, or with a ratio that is no
// positive number, is empty.
func cellColumns(c capacity.Cell) (answers uint32, ratio int32) {
	if c.Answers <= 0 || !(c.Ratio > 0) {
		return 0, 0
	}
	steps := math.Round(loadSteps * math.Log2(c.Ratio))
	return uint32(min(c.Answers, maxLoadAnswers)), int32(min(max(steps, -maxLoadRatio), maxLoadRatio))
}

// clamped returns the i-th entry of a column, at most limit.
func clamped(column []uint32, i int, limit uint32) int {
	if i >= len(column) {
		return 0
	}
	return int(min(column[i], limit))
}

// columns reports whether all columns have n entries or none.
func columns(n int, lengths ...int) bool {
	for _, l := range lengths {
		if l != n && l != 0 {
			return false
		}
	}
	return true
}

// fromSixteenths returns the number of an entry.
func fromSixteenths(n uint32) float64 {
	return float64(min(n, maxLoadWorking*loadSteps)) / loadSteps
}

// nonzero returns column, or nil if all of its entries are zero.
func nonzero[T uint32 | int32](column []T) []T {
	for _, v := range column {
		if v != 0 {
			return column
		}
	}
	return nil
}

// number returns the i-th number of a column in sixteenths.
func number(column []uint32, i int) float64 {
	if i >= len(column) {
		return 0
	}
	return fromSixteenths(column[i])
}

// sixteenths returns the entry for a number.
func sixteenths(v float64) uint32 {
	if !(v > 0) {
		return 0
	}
	return uint32(math.Round(min(v, maxLoadWorking) * loadSteps))
}

package host

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/internal/standin"
)

// answerTimeout is the longest wait for an answer that a test requires.
const answerTimeout = 10 * time.Second

// A client is a UDP socket with the role of one source port of a balancer.
type client struct {
	t    *testing.T
	conn *net.UDPConn
	id   int32
}

func newClient(t *testing.T, h *Host) *client {
	t.Helper()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(h.Address()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{
		t:    t,
		conn: conn,
	}
}

func (c *client) receive() *message.Message {
	c.t.Helper()
	buffer := make([]byte, coap.MaxDatagramSize)
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(answerTimeout)))
	n, err := c.conn.Read(buffer)
	require.NoError(c.t, err)
	m, err := standin.Decode(buffer[:n])
	require.NoError(c.t, err)
	return m
}

func (c *client) send(kind message.Type, code codes.Code, path, payload string, options ...message.Option) {
	c.t.Helper()
	c.id++
	m := &message.Message{
		Type:      kind,
		Code:      code,
		MessageID: c.id,
		Payload:   []byte(payload),
	}
	if path != "" {
		m.Token = message.Token{1, byte(c.id)}
		m.Options = append(standin.PathOptions(path), options...)
	}
	data, err := standin.Encode(m)
	require.NoError(c.t, err)
	_, err = c.conn.Write(data)
	require.NoError(c.t, err)
}

// close sends a GET that closes the watch of a token and returns the answer. The
// GET has no path.
func (c *client) close(token message.Token) *message.Message {
	c.t.Helper()
	c.id++
	data, err := standin.Encode(&message.Message{
		Type:      message.Confirmable,
		Code:      codes.GET,
		MessageID: c.id,
		Token:     token,
		Options:   message.Options{standin.UintOption(message.Observe, observeClose)},
	})
	require.NoError(c.t, err)
	_, err = c.conn.Write(data)
	require.NoError(c.t, err)
	return c.receive()
}

// get sends a confirmable GET and returns the answer.
func (c *client) get(path string, options ...message.Option) *message.Message {
	c.t.Helper()
	c.send(message.Confirmable, codes.GET, path, "", options...)
	return c.receive()
}

// startHost runs a host until the test ends.
func startHost(t *testing.T, service string, settings Settings) *Host {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h, err := New(service, config.Upstream{
		Name:        "u1",
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Slots:       4,
		Connections: 2,
		State:       config.UpstreamActive,
	}, settings, NewLedger(), log)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h
}

// fastSettings are the settings of hosts that answer almost at once and send no
// periodic notifications.
var fastSettings = Settings{
	ServiceTime:          time.Millisecond,
	ReportInterval:       time.Hour,
	NotificationInterval: time.Hour,
}

func TestHostCountsDoubleRuns(t *testing.T) {
	h := startHost(t, "rental-desk", fastSettings)
	c := newClient(t, h)
	for range 2 {
		c.send(message.NonConfirmable, codes.POST, "/holds", "h1")
		a := c.receive()
		require.Equal(t, message.NonConfirmable, a.Type)
		require.Equal(t, codes.Changed, a.Code)
		require.Equal(t, "held h1 by u1", string(a.Payload))
	}
	c.send(message.NonConfirmable, codes.POST, "/holds", "h2")
	c.receive()
	require.EqualValues(t, 3, h.Counters().Runs)
	require.EqualValues(t, 1, h.Counters().DoubleRuns)
}

func TestHostShedsAndOverloads(t *testing.T) {
	slow := fastSettings
	slow.ServiceTime = time.Hour
	h := startHost(t, "rental-desk", slow)
	c := newClient(t, h)
	c.send(message.NonConfirmable, codes.POST, "/holds", "h1")
	c.send(message.NonConfirmable, codes.POST, "/holds", "h2")
	require.Equal(t, codes.ServiceUnavailable, c.receive().Code)
	require.EqualValues(t, 1, h.Counters().Runs)
	c.send(message.NonConfirmable, codes.POST, "/holds", "h3")
	require.Eventually(t, func() bool { return h.Counters().Overloaded == 1 }, answerTimeout, time.Millisecond)
	require.EqualValues(t, 1, h.Counters().Sheds)
	require.EqualValues(t, 1, h.Counters().Runs)
}

func TestHostCancel(t *testing.T) {
	slow := fastSettings
	slow.ServiceTime = time.Hour
	h := startHost(t, "rental-desk", slow)
	c := newClient(t, h)
	c.send(message.Confirmable, codes.GET, "/calendar", "")
	c.id--
	c.send(message.Reset, codes.Empty, "", "")
	// The Reset has freed the slot, so that this request is not shed.
	c.send(message.NonConfirmable, codes.POST, "/holds", "h1")
	require.Eventually(t, func() bool { return h.Counters().Runs == 1 }, answerTimeout, time.Millisecond)
	require.Zero(t, h.Counters().Sheds)
}

func TestHostWrongService(t *testing.T) {
	for _, tc := range []struct {
		service string
		path    string
		wrong   uint64
	}{
		{
			service: "rental-desk",
			path:    "/photos/1",
			wrong:   1,
		},
		{
			service: "bacheca",
			path:    "/calendar",
		},
		{
			service: "lookbook",
			path:    "/calendar",
			wrong:   1,
		},
		{
			service: "planimetrie",
			path:    "/photos/1",
		},
		{
			service: "lookbook",
			path:    "/health",
		},
	} {
		t.Run(tc.service+tc.path, func(t *testing.T) {
			h := startHost(t, tc.service, fastSettings)
			newClient(t, h).get(tc.path)
			require.Equal(t, tc.wrong, h.Counters().WrongService)
		})
	}
}

func TestHostPhoto(t *testing.T) {
	h := startHost(t, "lookbook", fastSettings)
	c := newClient(t, h)
	var content []byte
	for block := range uint32(standin.PhotoBlocks) {
		a := c.get("/photos/7", standin.UintOption(message.Block2, block<<4|standin.PhotoBlockExponent))
		v, ok := standin.UintOf(a, message.Block2)
		require.True(t, ok)
		require.Equal(t, block, v>>4)
		require.Equal(t, block < standin.PhotoBlocks-1, v&8 != 0)
		content = append(content, a.Payload...)
	}
	require.True(t, bytes.HasPrefix(content, []byte("lookbook photo 7\n")))
	require.Equal(t, standin.Photo("lookbook", "7"), content)
}

func TestHostWatches(t *testing.T) {
	settings := fastSettings
	settings.NotificationInterval = notifyBuckets * time.Millisecond
	h := startHost(t, "rental-desk", settings)
	open := standin.UintOption(message.Observe, observeOpen)
	c := newClient(t, h)
	answer := c.get("/calendar", open)
	require.Equal(t, "u1 0", string(answer.Payload))
	before, _ := standin.UintOf(answer, message.Observe)
	n := c.receive()
	require.Equal(t, message.NonConfirmable, n.Type)
	require.Equal(t, answer.Token, n.Token)
	after, _ := standin.UintOf(n, message.Observe)
	require.Less(t, (after-before)&observeMask, uint32(1<<23))

	require.Equal(t, codes.Content, newClient(t, h).get("/calendar", open).Code)
	require.Equal(t, codes.ServiceUnavailable, newClient(t, h).get("/calendar", open).Code)

	h.Inject(Faults{
		Silent: true,
	})
	require.EqualValues(t, 2, h.Counters().LostRegistrations)
	require.Equal(t, codes.Content, newClient(t, h).get("/calendar", open).Code)
	require.Equal(t, 1, h.Counters().Connections)
}

func TestHostPingAndRestart(t *testing.T) {
	h := startHost(t, "rental-desk", fastSettings)
	c := newClient(t, h)
	c.send(message.Confirmable, codes.Empty, "", "")
	a := c.receive()
	require.Equal(t, message.Reset, a.Type)
	require.Equal(t, c.id, a.MessageID)

	health := string(c.get("/health").Payload)
	require.Contains(t, health, `"status":"cold"`)
	h.Inject(Faults{
		Restart: true,
	})
	require.NotEqual(t, health, string(c.get("/health").Payload))
}

func TestHostCloseWatchByToken(t *testing.T) {
	h := startHost(t, "rental-desk", fastSettings)
	c := newClient(t, h)
	token := c.get("/calendar", standin.UintOption(message.Observe, observeOpen)).Token
	require.Equal(t, 1, h.Counters().Connections)
	require.Equal(t, codes.Content, c.close(token).Code)
	require.Zero(t, h.Counters().Connections)
	require.Zero(t, h.Counters().WrongService)
}

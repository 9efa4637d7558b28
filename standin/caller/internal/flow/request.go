package flow

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/internal/standin"
)

// Bounds of a request.
const (
	// maxRetries is the number of new requests after a refusal.
	maxRetries = 3
	// maxChallenges is the number of 4.01 answers that a request follows.
	maxChallenges = 3
	// maxFetches is the number of times that an answer in blocks is begun.
	maxFetches = 3
	// defaultMaxAge is waited after a refusal without Max-Age.
	defaultMaxAge = time.Second
)

// A request is one hold or one block of a photo, as it is sent.
type request struct {
	code    codes.Code
	path    string
	options message.Options
	payload []byte
	// ticket is the newest that was given, or empty.
	ticket []byte
	// retry bounds the time in which refused requests are sent again.
	retry context.Context
	// once tells that a new request after a refusal needs a new ticket.
	once bool
}

// do sends a request until it has an answer other than 4.01 and 5.03, and
// counts what else it meets; the answer is nil where there is none.
func (s *socket) do(ctx context.Context, r *request, t *Counts) *coap.Response {
	for retries := 0; ; retries++ {
		a := s.attempt(ctx, r, t)
		if a == nil || !a.Shed() {
			return a
		}
		t.Refused++
		if retries == maxRetries || !wait(r.retry, a.MaxAge) {
			return nil
		}
		if r.once {
			r.ticket = nil
		}
	}
}

// attempt sends a request and follows its challenges. Each challenge is answered
// under a new token, so that a late answer to what was sent before can't be taken
// for one to the request with the ticket.
func (s *socket) attempt(ctx context.Context, r *request, t *Counts) *coap.Response {
	for range maxChallenges {
		a, err := s.exchange(ctx, r.message(s.token()))
		if err != nil {
			t.MayHaveRun++
			return nil
		}
		if len(a.Ticket) > 0 {
			r.ticket = a.Ticket
		}
		if a.Code != codes.Unauthorized {
			return a
		}
	}
	t.Refused++
	return nil
}

func (r *request) message(token message.Token) *message.Message {
	return &message.Message{
		Code:    r.code,
		Token:   token,
		Options: slices.Concat(standin.Path(r.path), r.options, echo(r.ticket)),
		Payload: r.payload,
	}
}

// echo returns the option that sends a ticket back, if there is one.
func echo(ticket []byte) message.Options {
	if len(ticket) == 0 {
		return nil
	}
	return message.Options{
		{
			ID:    message.Echo,
			Value: ticket,
		},
	}
}

// hold places a hold of a unique id and returns the upstream that ran it, or
// "".
func (s *socket) hold(ctx, retry context.Context, id string, t *Counts) string {
	t.Opened++
	a := s.do(ctx, &request{
		code:    codes.POST,
		path:    "/holds",
		payload: []byte(id),
		retry:   retry,
		once:    true,
	}, t)
	if a == nil || count(a, codes.Changed, t) {
		return ""
	}
	upstream, ok := strings.CutPrefix(string(a.Payload), fmt.Sprintf("held %s by ", id))
	if !ok {
		t.Wrong++
		return ""
	}
	t.Answered++
	return upstream
}

// photo fetches a photo block by block and checks it. Where the upstream of the
// first block can't serve a later one, it starts again at another.
func (s *socket) photo(ctx, retry context.Context, service, number string, t *Counts) {
	t.Opened++
	for range maxFetches {
		content, lost := s.blocks(ctx, retry, number, t)
		if lost {
			continue
		}
		if content == nil {
			return
		}
		if !bytes.Equal(content, standin.Photo(service, number)) {
			t.Wrong++
			return
		}
		t.Answered++
		return
	}
}

// blocks fetches the blocks of a photo, all from one upstream. The content is
// nil where a failure was counted; lost tells that a later block was refused.
func (s *socket) blocks(ctx, retry context.Context, number string, t *Counts) (content []byte, lost bool) {
	r := &request{
		code:  codes.GET,
		path:  "/photos/" + number,
		retry: retry,
	}
	for block := range uint32(standin.PhotoBlocks) {
		r.options = message.Options{standin.Uint(message.Block2, block<<4|standin.PhotoBlockExponent)}
		a := s.do(ctx, r, t)
		if a == nil {
			return nil, block > 0 && retry.Err() == nil
		}
		if count(a, codes.Content, t) {
			return nil, false
		}
		if !a.HasBlock2 || a.Block>>4 != block {
			t.Wrong++
			return nil, false
		}
		content = append(content, a.Payload...)
		if a.Block&8 == 0 {
			break
		}
	}
	return content, false
}

// count counts an answer that is not of the wanted code, and reports whether
// it is one.
func count(a *coap.Response, wanted codes.Code, t *Counts) bool {
	switch a.Code {
	case wanted:
		return false
	case codes.GatewayTimeout, codes.Forbidden:
		t.MayHaveRun++
	case codes.BadRequest, codes.BadOption, codes.RequestEntityTooLarge:
		t.Refused++
	default:
		t.Wrong++
	}
	return true
}

// wait waits for a refusal's Max-Age and reports whether ctx is still on.
func wait(ctx context.Context, maxAge time.Duration) bool {
	if maxAge == 0 {
		maxAge = defaultMaxAge
	}
	timer := time.NewTimer(maxAge)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

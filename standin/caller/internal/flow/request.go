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

// Limits of a request.
const (
	// maxRetries is the greatest number of retries of a refused request.
	maxRetries = 3
	// maxChallenges is the number of 4.01 responses after which a request counts
	// as refused.
	maxChallenges = 3
	// maxFetchAttempts is the greatest number of times that the download of a
	// photo is started.
	maxFetchAttempts = 3
	// defaultMaxAge is the wait after a refusal without Max-Age.
	defaultMaxAge = time.Second
)

// A request is a request for a hold or for one block of a photo.
type request struct {
	code    codes.Code
	path    string
	options message.Options
	payload []byte
	// ticket is the last ticket received, or empty.
	ticket []byte
	// retry ends when refused requests are no longer retried.
	retry context.Context
	// singleUseTicket is set if a retry after a refusal needs a new ticket.
	singleUseTicket bool
}

// send sends a request, retrying refusals, until it gets a response other than
// 4.01 and 5.03. It counts refusals and unknown outcomes, and returns nil if
// there is no such response.
func (s *socket) send(ctx context.Context, r *request, counts *Counts) *coap.Response {
	for retries := 0; ; retries++ {
		a := s.sendWithChallenges(ctx, r, counts)
		if a == nil || !a.Shed() {
			return a
		}
		counts.Refused++
		if retries == maxRetries || !waitMaxAge(r.retry, a.MaxAge) {
			return nil
		}
		if r.singleUseTicket {
			r.ticket = nil
		}
	}
}

// sendWithChallenges sends a request and answers its challenges (4.01) by
// sending it again with the ticket that they carry. Each challenge is answered
// under a new token, so that a late response to an earlier message can't be
// taken for the response to the request with the ticket.
func (s *socket) sendWithChallenges(ctx context.Context, r *request, counts *Counts) *coap.Response {
	for range maxChallenges {
		a, err := s.exchange(ctx, r.newMessage(s.newToken()))
		if err != nil {
			counts.MayHaveRun++
			return nil
		}
		if len(a.Ticket) > 0 {
			r.ticket = a.Ticket
		}
		if a.Code != codes.Unauthorized {
			return a
		}
	}
	counts.Refused++
	return nil
}

func (r *request) newMessage(token message.Token) *message.Message {
	return &message.Message{
		Code:    r.code,
		Token:   token,
		Options: slices.Concat(standin.PathOptions(r.path), r.options, ticketOption(r.ticket)),
		Payload: r.payload,
	}
}

// ticketOption returns the Echo option that carries a ticket, or no option if
// the ticket is empty.
func ticketOption(ticket []byte) message.Options {
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

// placeHold places a hold with a unique id. It returns the name of the upstream
// that ran it, or "" if that is unknown.
func (s *socket) placeHold(ctx, retry context.Context, id string, counts *Counts) string {
	counts.Opened++
	a := s.send(ctx, &request{
		code:            codes.POST,
		path:            "/holds",
		payload:         []byte(id),
		retry:           retry,
		singleUseTicket: true,
	}, counts)
	if a == nil || countFailure(a, codes.Changed, counts) {
		return ""
	}
	upstream, ok := strings.CutPrefix(string(a.Payload), fmt.Sprintf("held %s by ", id))
	if !ok {
		counts.Wrong++
		return ""
	}
	counts.Answered++
	return upstream
}

// fetchPhoto downloads a photo block by block and checks its content. If the
// upstream of the first block can't serve a later one, the download restarts and
// may use another upstream.
func (s *socket) fetchPhoto(ctx, retry context.Context, service, number string, counts *Counts) {
	counts.Opened++
	for range maxFetchAttempts {
		content, restart := s.fetchBlocks(ctx, retry, number, counts)
		if restart {
			continue
		}
		if content == nil {
			return
		}
		if !bytes.Equal(content, standin.Photo(service, number)) {
			counts.Wrong++
			return
		}
		counts.Answered++
		return
	}
}

// fetchBlocks fetches the blocks of a photo, all from one upstream. The content
// is nil if a failure was counted. The result restart is true if the failure was
// at a block after the first and retries are still allowed.
func (s *socket) fetchBlocks(ctx, retry context.Context, number string, counts *Counts) (content []byte, restart bool) {
	r := &request{
		code:  codes.GET,
		path:  "/photos/" + number,
		retry: retry,
	}
	for block := range uint32(standin.PhotoBlocks) {
		r.options = message.Options{standin.UintOption(message.Block2, block<<4|standin.PhotoBlockExponent)}
		a := s.send(ctx, r, counts)
		if a == nil {
			return nil, block > 0 && retry.Err() == nil
		}
		if countFailure(a, codes.Content, counts) {
			return nil, false
		}
		if !a.HasBlock2 || a.Block2>>4 != block {
			counts.Wrong++
			return nil, false
		}
		content = append(content, a.Payload...)
		if a.Block2&8 == 0 {
			break
		}
	}
	return content, false
}

// countFailure reports whether a response has another code than the expected one,
// and if so, counts it.
func countFailure(a *coap.Response, expected codes.Code, counts *Counts) bool {
	switch a.Code {
	case expected:
		return false
	case codes.GatewayTimeout, codes.Forbidden:
		counts.MayHaveRun++
	case codes.BadRequest, codes.BadOption, codes.RequestEntityTooLarge:
		counts.Refused++
	default:
		counts.Wrong++
	}
	return true
}

// waitMaxAge waits for the Max-Age of a refusal. It reports false if ctx ends
// before.
func waitMaxAge(ctx context.Context, maxAge time.Duration) bool {
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

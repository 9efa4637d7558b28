package admin

import (
	"context"

	"github.com/go-kit/kit/endpoint"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/status"
)

// errNotReady is wrapped by the error that says why a balancer is not ready.
var errNotReady = eris.New("not ready")

// A state is the answer to calls that return no other value.
type state struct {
	State string `json:"state"`
}

func balancerStatus(balancer Balancer) endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		return balancer.Status(), nil
	}
}

func drain(balancer Balancer) endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		balancer.Drain()
		return state{State: "leaving"}, nil
	}
}

func explain(balancer Balancer) endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		return balancer.Explain(request.(status.Query))
	}
}

func health(context.Context, any) (any, error) {
	return state{State: "up"}, nil
}

func ready(balancer Balancer) endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		if err := balancer.Ready(); err != nil {
			return nil, eris.Wrap(errNotReady, err.Error())
		}
		return state{State: "ready"}, nil
	}
}

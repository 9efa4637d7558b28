package cmd

import (
	"net/http"
	"net/http/httptest"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/status"
)

// newFakeLoad returns a server of a balancer's metrics address that serves a load.
func newFakeLoad(l *status.Load) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+status.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, l)
	})
	return httptest.NewServer(mux)
}

// fakeLoad returns what a balancer of a zone knows while merano is full, bolzano has room and
// nobody has told of brunico. A balancer of another zone knows older numbers of merano.
func fakeLoad(name, zone string) *status.Load {
	l := &status.Load{
		Balancer: name,
		Zone:     zone,
		Shared:   true,
		Known:    true,
		Age:      config.Duration(100 * time.Millisecond),
	}
	merano := status.ServiceLoad{
		Service:  "bacheca",
		Zone:     "merano",
		Known:    true,
		Working:  180.25,
		Capacity: 160,
		Age:      config.Duration(240 * time.Millisecond),
	}
	bolzano := status.ServiceLoad{
		Service:  "bacheca",
		Zone:     "bolzano",
		Known:    true,
		Working:  30,
		Capacity: 100,
		Free:     70,
		Share:    1,
		Age:      config.Duration(310 * time.Millisecond),
	}
	brunico := status.ServiceLoad{
		Service: "bacheca",
		Zone:    "brunico",
	}
	if zone == "merano" {
		l.Waiting = 3
		merano.Share, bolzano.Share = 0.6, 0.25
		bolzano.Working, bolzano.Age = 28, config.Duration(900*time.Millisecond)
		l.Upstreams = []status.UpstreamLoad{
			{
				Name:     "desk-1",
				Service:  "bacheca",
				Known:    true,
				Slots:    8,
				Capacity: 8,
				Flows:    20,
				Working:  7.5,
				Age:      config.Duration(240 * time.Millisecond),
			},
			{
				Name:     "desk-3",
				Service:  "bacheca",
				Known:    true,
				Slots:    8,
				Capacity: 2,
				Answers:  412,
				Avoided:  true,
				Flows:    9,
				Working:  5.25,
				Age:      config.Duration(240 * time.Millisecond),
			},
			{
				Name:     "hut-1",
				Service:  "lago",
				Slots:    4,
				Capacity: 4,
			},
		}
	} else {
		merano.Working, merano.Age = 150, config.Duration(800*time.Millisecond)
	}
	l.Services = []status.ServiceLoad{bolzano, brunico, merano}
	return l
}

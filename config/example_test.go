package config_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/internal/fakes"
)

func ExamplePublisher_Apply() {
	s := fakes.NewStore()
	p := config.NewPublisher(config.PublisherOptions{Table: s.Table(), Objects: s.Objects()})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	h, outcome, _ := p.Apply(ctx, "build-17", 0, []byte(`{"name": "bucharest"}`))
	fmt.Println(outcome, h.Revision)
	_, outcome, err := p.Apply(ctx, "build-18", 0, []byte(`{"name": "montevideo"}`))
	var c *config.ConflictError
	fmt.Println(outcome, errors.As(err, &c), c.Base, c.Current.Revision)
	// Output:
	// accepted 1
	// conflict true 0 1
}

func ExampleFollower() {
	body := []byte(`{"name": "bucharest"}`)
	head := config.Head{Revision: 1, Digest: config.Digest(body), Change: "build-17"}
	now := time.Unix(0, 0)
	var f *config.Follower
	f = config.NewFollower(config.FollowerOptions{
		FetchStore: func(config.Fetch) { f.HandleHead(head, now) },
		FetchPeer:  func(w config.Fetch) { f.HandleBody(w.Digest, body, now) },
		Adopt:      func(h config.Head, b []byte) { fmt.Println(h.Revision, string(b)) },
		Rand:       func() float64 { return 0 },
	})
	f.Tick(now)
	// Output: 1 {"name": "bucharest"}
}

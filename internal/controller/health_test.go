package controller

import (
	"context"
	"testing"
)

func TestNodeStepsOutOnlyIfItAloneIsCutOffAndDoesNotFlap(t *testing.T) {
	silent, refused, stored, peered := reach{}, reach{refused: true}, reach{store: true}, reach{peer: true}
	for _, c := range []struct {
		name  string
		looks []reach
		want  Fitness
	}{
		{"reaches the store", []reach{stored, stored}, Fit},
		{"one look failed", []reach{stored, silent}, Shaky},
		{"a lossy network", []reach{silent, stored, silent, stored, silent, stored}, Fit},
		{"reaches neither store nor peers", []reach{silent, silent, silent}, Out},
		{"the store refuses all, peers refuse connections", []reach{refused, refused, refused, refused}, Fit},
		{"only peers", []reach{peered, peered, peered, peered}, Fit},
		{"one good look is too few to come back", []reach{silent, silent, silent, stored, silent}, Out},
		{"back", []reach{silent, silent, silent, stored, stored}, Fit},
	} {
		h := health{log: func(string, ...any) {}}
		for _, r := range c.looks {
			h.look(r)
		}
		if got := h.fitness(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A controller lost the store and its peers, but kept its workers and users: it
// went on answering 503 to users whom others could have served.
func TestControllerCutOffFromAllButItsUsersSendsThemOn(t *testing.T) {
	b := newBed(t)
	n, _ := b.node("n-0")
	wait(t, "leading", func() bool { return n.leading() != nil })
	n.health.look(n.lookAround(context.Background()))
	if !n.Ready() || n.Cut() {
		t.Fatal("it reaches the store")
	}
	b.store.Cut(true)
	for range outAfter {
		n.health.look(n.lookAround(context.Background()))
	}
	if n.Ready() || !n.Cut() {
		t.Fatal("still ready")
	}
	b.store.Cut(false)
	for range backAfter {
		n.health.look(n.lookAround(context.Background()))
	}
	if !n.Ready() {
		t.Fatal("not back")
	}
}

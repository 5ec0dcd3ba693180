package route

import "time"

// A pause is a peer in the queue of a pool until some moment.
type pause struct {
	until int64 // Unix nanoseconds
	peer  *peer
}

// pauses is a binary heap, the first to end on top. A peer is in it once at
// most, and stays to its turn even where its pause grew or lost its meaning.
type pauses []pause

// push adds e, unless it is there.
func (p *pauses) push(e *peer) {
	if e.pausing {
		return
	}
	e.pausing = true
	l := append(*p, pause{until: e.until.UnixNano(), peer: e})
	*p = l
	i := len(l) - 1
	for i > 0 {
		up := (i - 1) / 2
		if l[up].until <= l[i].until {
			return
		}
		l[up], l[i] = l[i], l[up]
		i = up
	}
}

// pop takes out the first peer whose turn has come, or returns nil.
func (p *pauses) pop(now time.Time) *peer {
	l := *p
	if len(l) == 0 || l[0].until > now.UnixNano() {
		return nil
	}
	e := l[0].peer
	e.pausing = false
	last := len(l) - 1
	l[0] = l[last]
	l[last] = pause{}
	*p = l[:last]
	p.down()
	return e
}

func (p *pauses) down() {
	l := *p
	i := 0
	for {
		c := 2*i + 1
		if c >= len(l) {
			return
		}
		if c+1 < len(l) && l[c+1].until < l[c].until {
			c++
		}
		if l[i].until <= l[c].until {
			return
		}
		l[i], l[c] = l[c], l[i]
		i = c
	}
}

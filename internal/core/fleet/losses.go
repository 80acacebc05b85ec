package fleet

import "time"

// crashWindow is how near in time a server must have lost an answer and refused
// a connection for the request to have been in flight when it crashed. The next
// request to a server comes sooner than that.
const crashWindow = 2 * time.Second

// Losses tells the crashes of one life of a server from answers that were lost on
// the way: a server that crashed refuses the next connection, whoever makes it.
// It is not safe for concurrent use.
type Losses struct {
	pending []loss
	refused time.Time
}

type loss struct {
	request string
	at      time.Time
}

// Lost notes that the connection broke on which a request was sent, and returns
// the requests that the server crashed under, if it did.
func (l *Losses) Lost(now time.Time, request string) []string {
	l.pending = append(l.pending, loss{request, now})
	if now.Sub(l.refused) > crashWindow {
		return nil
	}
	return l.take(now)
}

// Refused notes that the server refused a connection, and returns the requests
// that it crashed under, if it did.
func (l *Losses) Refused(now time.Time) []string {
	l.refused = now
	return l.take(now)
}

// Answered notes that the server answered: it is alive.
func (l *Losses) Answered() { l.pending = nil }

func (l *Losses) take(now time.Time) []string {
	var out []string
	for _, p := range l.pending {
		if now.Sub(p.at) <= crashWindow {
			out = append(out, p.request)
		}
	}
	l.pending = nil
	return out
}

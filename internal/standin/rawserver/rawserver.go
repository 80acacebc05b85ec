// Package rawserver is a stand-in for a server in trouble: it writes responses byte for byte,
// those that HTTP does not allow included, and ends connections as it is told.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Ending is what a server does with a connection once it has written a response.
type Ending int

// Values of Ending.
const (
	// KeepOpen waits for the next request.
	KeepOpen Ending = iota
	// Finish ends the stream in order, and reads what still comes until the client closes.
	Finish
	// Reset resets the connection after the response's Pause.
	Reset
)

// Response is what a server writes in answer to a request.
type Response struct {
	Text string
	// Early has it written as soon as the request's head was read. The body stays unread, unless
	// the connection is kept open.
	Early  bool
	Ending Ending
	// Pause is the time between the last byte and a reset.
	Pause time.Duration
}

// Server answers on a loopback address until it is closed.
type Server struct {
	// Address is "ip:port".
	Address string

	listener net.Listener
	respond  func(*http.Request) Response
}

// Start returns a server that answers each request, whose body is read already unless the response
// is early, as respond says.
func Start(respond func(*http.Request) Response) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), listener: l, respond: respond}
	go s.serve()
	return s, nil
}

// Close stops accepting connections. Those that are open end with their clients.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.handle(c.(*net.TCPConn))
	}
}

func (s *Server) handle(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		resp := s.respond(req)
		if !resp.Early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, resp.Text); err != nil {
			return
		}
		switch resp.Ending {
		case Finish:
			if c.CloseWrite() == nil {
				io.Copy(io.Discard, r)
			}
			return
		case Reset:
			time.Sleep(resp.Pause)
			c.SetLinger(0)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

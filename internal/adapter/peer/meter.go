package peer

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter counts the bytes of connections between processes, below yamux.
type Meter struct {
	in, out prometheus.Counter
}

// NewMeter registers the counters of a process.
func NewMeter(reg prometheus.Registerer) *Meter {
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_peer_bytes_total", Help: "Bytes exchanged with other cassiatray processes, by direction: in or out.",
	}, []string{"direction"})
	reg.MustRegister(bytes)
	return &Meter{in: bytes.WithLabelValues("in"), out: bytes.WithLabelValues("out")}
}

// Dial returns a dial function whose connections are counted.
func (m *Meter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

// Listener returns a listener whose connections are counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, meter: m} }

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(float64(n))
	return n, err
}

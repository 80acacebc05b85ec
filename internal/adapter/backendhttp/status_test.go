package backendhttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiatray/internal/adapter/backendhttp"
	"cassiatray/internal/port"
)

// Guards against statuses that are no answer and are taken for one. The server answers each
// request with the status that its path names, and interim ones with a whole answer behind them.
func TestEveryStatusOfAServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-served })
	health := make(chan string, 1)
	go func() {
		defer close(served)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				io.Copy(io.Discard, req.Body)
				status := strings.TrimPrefix(req.URL.Path, "/")
				id := "X-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n"
				if status == "health" {
					status, id = <-health, ""
				}
				text := "HTTP/1.1 " + status + " X\r\n" + id + "Content-Length: 0\r\n\r\n"
				if status[0] == '1' && status != "101" {
					text += "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n"
				}
				io.WriteString(c, text)
			}
			c.Close()
		}
	}()
	client := backendhttp.New(1)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for status := range 1000 {
		none := status < 100 || status == http.StatusSwitchingProtocols
		want := status
		if status < http.StatusOK {
			want = http.StatusOK
		}
		req := request("a", http.MethodGet, nil, false)
		req.Path = fmt.Sprintf("/%03d", status)
		a, err := client.Do(ctx, l.Addr().String(), req)
		var be *port.BackendError
		switch {
		case none && err == nil:
			t.Errorf("status %03d: delivered %d", status, a.Status)
		case none:
			if !errors.As(err, &be) || be.Code != port.BackendBroken || !be.Sent {
				t.Errorf("status %03d: error %v", status, err)
			}
		case err != nil || a.Status != want:
			t.Errorf("status %03d: answer %+v, error %v", status, a, err)
		}
		health <- fmt.Sprintf("%03d", status)
		h, err := client.Probe(ctx, l.Addr().String())
		if none != (err != nil) || err == nil && h.Healthy != (want == http.StatusOK) {
			t.Errorf("health check, status %03d: %+v, error %v", status, h, err)
		}
	}
}

package rawserver

import (
	"fmt"
	"strconv"
	"strings"
)

// longField is a field that no read buffer of a client holds as a whole.
var longField = "X-Long: " + strings.Repeat("x", 20<<10) + "\r\n"

// Malformed returns responses that a client must not take for one, by what is wrong with them. Each
// has a status, fields that may be empty ("Name: value\r\n" each) and a body, and is followed by
// nothing: the connection is to end in order behind it.
func Malformed(status int, fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	head := func(version, lines string) string {
		return version + " " + strconv.Itoa(status) + " X\r\n" + fields + lines + "\r\n"
	}
	with := func(line string) string { return head("HTTP/1.1", line+"\r\n"+length) + body }
	return map[string]string{
		"blank in a name":                 with("X Y: a"),
		"blank before a colon":            with("X-Y : a"),
		"tab in a name":                   with("X\tY: a"),
		"tab before a colon":              with("X-Y\t: a"),
		"NUL in a name":                   with("X\x00Y: a"),
		"BEL in a name":                   with("X\x07Y: a"),
		"CR in a name":                    with("X\rY: a"),
		"NUL in a value":                  with("X-Y: a\x00b"),
		"CR in a value":                   with("X-Y: a\rb"),
		"no name":                         with(": a"),
		"no colon":                        with("X-Y"),
		"folded name":                     with("X-Y\r\n : a"),
		"bad name behind a long head":     head("HTTP/1.1", longField+"X Y: a\r\n"+length) + body,
		"blank in the name of the length": head("HTTP/1.1", "Content-Length : 1\r\n") + body,
		"folded name of the length":       head("HTTP/1.1", "Content-Length\r\n : 1\r\n") + body,
		"blank in the name of the coding": head("HTTP/1.1", "Transfer-Encoding : chunked\r\n") + chunks + "\r\n",
		"coding in HTTP/1.0":              head("HTTP/1.0", "Transfer-Encoding: chunked\r\n") + chunks + "\r\n",
		"coding in HTTP/1.0, with length": head("HTTP/1.0", "transfer-encoding: chunked\r\n"+length) + body,
		"coding in HTTP/1.0, long head":   head("HTTP/1.0", longField+"Transfer-Encoding: chunked\r\n") + chunks + "\r\n",
		"coding in HTTP/0.9":              head("HTTP/0.9", "Transfer-Encoding: chunked\r\n") + chunks + "\r\n",
		"HTTP/2.0":                        head("HTTP/2.0", length) + body,
		"blank in a name, interim":        "HTTP/1.1 103 X\r\nX Y: a\r\n\r\n" + head("HTTP/1.1", length) + body,
		"blank in a name, trailer":        head("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + chunks + "X Y: a\r\n\r\n",
	}
}

// Unusual returns whole responses that few servers send: HTTP allows them, and a client takes them.
func Unusual(status int, fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	head := func(version, lines string) string {
		return version + " " + strconv.Itoa(status) + " X\r\n" + fields + lines + "\r\n"
	}
	return map[string]string{
		"HTTP/1.0, with length":  head("HTTP/1.0", length) + body,
		"HTTP/1.0, no length":    head("HTTP/1.0", "") + body,
		"no length":              head("HTTP/1.1", "") + body,
		"later minor version":    head("HTTP/1.2", length) + body,
		"marks in a name":        head("HTTP/1.1", "!#$%&'*+-.^_`|~0: a\r\n"+length) + body,
		"no value":               head("HTTP/1.1", "X-Y:\r\n"+length) + body,
		"folded value":           head("HTTP/1.1", "X-Y: a\r\n b : c\r\n"+length) + body,
		"long head":              head("HTTP/1.1", longField+length) + body,
		"interim response first": "HTTP/1.1 103 X\r\nX-Y: a\r\n\r\n" + head("HTTP/1.1", length) + body,
		"trailer":                head("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Y: a\r\n\r\n", len(body), body),
	}
}

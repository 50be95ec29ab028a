package crtarget

import (
	"net"
	"strconv"
	"strings"
	"time"
)

// Endless is the part of a response that a target sends without end, until the caller closes the
// connection.
type Endless string

// The parts.
const (
	EndlessStatusLine Endless = "status line"
	EndlessField      Endless = "field"
	EndlessFields     Endless = "fields"
	EndlessInterim    Endless = "interim responses"
	EndlessBody       Endless = "body until the connection closes"
	EndlessDeclared   Endless = "body of a declared length"
	EndlessChunks     Endless = "chunks"
	EndlessChunkSize  Endless = "size of a chunk"
	EndlessTrailer    Endless = "trailer field"
	EndlessTrailers   Endless = "trailer fields"
	EndlessNothing    Endless = "empty lines before a response"
	EndlessExtra      Endless = "bytes behind a complete response"
)

// AllEndless returns all parts.
func AllEndless() []Endless {
	return []Endless{
		EndlessStatusLine, EndlessField, EndlessFields, EndlessInterim, EndlessBody, EndlessDeclared, EndlessChunks, EndlessChunkSize,
		EndlessTrailer, EndlessTrailers, EndlessNothing, EndlessExtra,
	}
}

// text returns the bytes before the endless part, and those that are repeated.
func (e Endless) text(id string) (begin, repeated string) {
	const status = "HTTP/1.1 200 OK\r\n"
	head := status + "Request-Id: " + id + "\r\nResponse-Seal: s\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	switch e {
	case EndlessStatusLine:
		return "HTTP/1.1 200 ", "OK"
	case EndlessField:
		return head + "X: ", "x"
	case EndlessFields:
		return head, "X-Field: 1\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	case EndlessBody:
		return head + "\r\n", "x"
	case EndlessDeclared:
		return head + "Content-Length: " + strconv.Itoa(maxEndlessBytes) + "\r\n\r\n", "x"
	case EndlessChunks:
		return head + chunked, "1\r\nx\r\n"
	case EndlessChunkSize:
		return head + chunked + "1;", "x"
	case EndlessTrailer:
		return head + chunked + "0\r\nX: ", "x"
	case EndlessTrailers:
		return head + chunked + "0\r\n", "X: 1\r\n"
	case EndlessNothing:
		return "", "\r\n"
	case EndlessExtra:
		return head + "Content-Length: 1\r\n\r\nx", "x"
	}
	return "", ""
}

const (
	// endlessWrite is the size of a write without a pace.
	endlessWrite = 64 << 10
	// pacedWrite is the size of a write with one.
	pacedWrite = 16
	// maxEndlessBytes bounds what a target sends to a caller that does not close the connection.
	maxEndlessBytes = 8 << 30
)

// send writes the part until the caller closes the connection. With a pace it waits that long between
// short writes.
func (e Endless) send(conn net.Conn, id string, pace time.Duration) {
	begin, repeated := e.text(id)
	size := endlessWrite
	if pace > 0 {
		size = pacedWrite
	}
	block := []byte(strings.Repeat(repeated, size/len(repeated)+1))
	// A single write, so that the peer reads the endless part together with what is before it.
	if _, err := conn.Write(append([]byte(begin), block...)); err != nil {
		return
	}
	for sent := 0; sent < maxEndlessBytes; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return
		}
		time.Sleep(pace)
	}
}

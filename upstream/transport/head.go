package transport

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// protocolWithoutChunks is the version of HTTP whose bodies have a length or end with their connection.
const protocolWithoutChunks = "HTTP/1.0"

// readHead reads the next response head, and skips informational ones, which count towards its limit.
func (c *conn) readHead(method string) (*http.Response, error) {
	defer c.limiter.Unlimit()
	c.limiter.Limit("response head", maxHeadBytes)
	for {
		response, err := c.readOneHead(method)
		if err != nil {
			return nil, errors.Wrap(c.limiter.Cause(err), "read response head")
		}
		if isInformational(response.StatusCode) {
			continue
		}
		if fault := (fuchsiaspoke.ResponseHead{Status: response.StatusCode, Header: response.Header}).Fault(); fault != nil {
			return nil, errors.Wrap(fault, "read response head")
		}
		return response, nil
	}
}

// isInformational reports whether the final response follows one with the status. None follows 101, and no request asks for another protocol.
func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// readOneHead reads a response head. Its lines are checked before they are parsed, as http.ReadResponse takes names with blanks, and joins a line
// that begins with one to the line before.
func (c *conn) readOneHead(method string) (*http.Response, error) {
	head, err := c.readHeadLines()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	c.unread(head)
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// readHeadLines reads a head with its empty line, up to the first line that no head has.
func (c *conn) readHeadLines() ([]byte, error) {
	var head []byte
	mayBeChunked := false
	for start := 0; ; {
		part, err := c.reader.ReadSlice('\n')
		head = append(head, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, err
		}
		line := strings.TrimSuffix(strings.TrimSuffix(string(head[start:]), "\n"), "\r")
		switch {
		case start == 0:
			mayBeChunked = !strings.HasPrefix(line, protocolWithoutChunks)
			err = statusLineFault(line)
		case line == "":
			return head, nil
		default:
			err = fieldFault(line, mayBeChunked)
		}
		if err != nil {
			return nil, err
		}
		start = len(head)
	}
}

// unread puts bytes back in front of those that were received after them.
func (c *conn) unread(p []byte) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	p = append(p, buffered...)
	p = append(p, c.again.Bytes()...)
	c.again = *bytes.NewBuffer(p)
	c.reader.Reset(io.MultiReader(&c.again, c.limiter))
}

// forgetRead frees the memory of bytes that were read once more, of which an idle connection has no need.
func (c *conn) forgetRead() {
	if c.again.Len() == 0 {
		c.again = bytes.Buffer{}
	}
}

// statusLineFault returns why a line is not the first one of a response; nil if it is.
func statusLineFault(line string) error {
	protocol, rest, _ := strings.Cut(line, " ")
	status, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	major, _, known := http.ParseHTTPVersion(protocol)
	if _, err := strconv.ParseUint(status, 10, 16); !known || major != 1 || len(status) != 3 || err != nil {
		return errors.Errorf("malformed status line %.80q", line)
	}
	return nil
}

// fieldFault returns why a line is not a field of a header; nil if it is. A version without chunks has no field for them, which http.ReadResponse
// would ignore.
func fieldFault(line string, mayBeChunked bool) error {
	name, value, found := strings.Cut(line, ":")
	if !mayBeChunked && strings.EqualFold(name, "Transfer-Encoding") {
		return errors.Errorf("%s in a response of %s", name, protocolWithoutChunks)
	}
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return errors.Errorf("malformed header line %.80q", line)
	}
	return nil
}

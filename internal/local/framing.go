package local

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	// versionPrefix starts each response; the minor version, a blank and three digits follow.
	versionPrefix = "HTTP/1."
	statusOffset  = len(versionPrefix) + len("1 ")
	statusEnd     = statusOffset + len("200")
	maxStatus     = 599
)

// checkHead returns *MalformedResponseError unless the lines of a head are those of a final response, with a status of 200 to 599, or of an
// interim one, 100 and 102 to 199, and say in one way where the response ends. http.ReadResponse accepts more: the statuses 000 to 999 and signs,
// and a length beside an encoding in chunks.
func checkHead(head []byte) error {
	if status := parseStatus(head); status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > maxStatus {
		line, _, _ := bytes.Cut(head[:min(len(head), maxStatusLineShown)], []byte("\n"))
		return &MalformedResponseError{Detail: "status line " + strconv.Quote(string(line))}
	}
	return checkFraming(head)
}

// parseStatus returns the status of a response, or 0 if its first line is not that of one.
func parseStatus(head []byte) int {
	if len(head) <= statusEnd || !bytes.HasPrefix(head, []byte(versionPrefix)) || !isDigit(head[len(versionPrefix)]) || head[statusOffset-1] != ' ' {
		return 0
	}
	status := 0
	for _, digit := range head[statusOffset:statusEnd] {
		if !isDigit(digit) {
			return 0
		}
		status = 10*status + int(digit-'0')
	}
	if end := head[statusEnd]; end != ' ' && end != '\r' && end != '\n' {
		return 0
	}
	return status
}

func isDigit(character byte) bool { return '0' <= character && character <= '9' }

// checkFraming checks the fields that determine where a response ends: at most one length, of digits only, or one encoding, in chunks, in a
// response of HTTP/1.1.
func checkFraming(head []byte) error {
	var lengths, encodings []string
	var name, value []byte
	_, rest, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(rest) {
		if line[0] == ' ' || line[0] == '\t' {
			if isField(name, lengthField) || isField(name, encodingField) {
				return &MalformedResponseError{Detail: "a folded field determines the length"}
			}
			continue
		}
		name, value, _ = bytes.Cut(line, []byte(":"))
		switch {
		case isField(name, lengthField):
			lengths = append(lengths, string(bytes.Trim(value, " \t\r\n")))
		case isField(name, encodingField):
			encodings = append(encodings, strings.ToLower(string(bytes.Trim(value, " \t\r\n"))))
		}
	}
	switch {
	case len(lengths) > 1, len(encodings) > 1, len(lengths)+len(encodings) > 1:
		return &MalformedResponseError{Detail: "several fields that determine the length"}
	case len(lengths) == 1 && !isLength(lengths[0]):
		return &MalformedResponseError{Detail: "length " + strconv.Quote(lengths[0])}
	case len(encodings) == 1 && (encodings[0] != "chunked" || head[len(versionPrefix)] == '0'):
		return &MalformedResponseError{Detail: "encoding " + strconv.Quote(encodings[0])}
	}
	return nil
}

// The fields that determine where a response ends.
const (
	lengthField   = "content-length"
	encodingField = "transfer-encoding"
)

func isField(name []byte, field string) bool {
	return len(name) >= len(field) && strings.EqualFold(string(bytes.TrimSpace(name)), field)
}

func isLength(value string) bool {
	for _, digit := range []byte(value) {
		if !isDigit(digit) {
			return false
		}
	}
	_, err := strconv.ParseInt(value, 10, 64)
	return err == nil
}

package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"figbank/platform/standin"
)

const (
	// maxOddBytes bounds the length of odd texts. Those of longText bytes are too long for a name.
	maxOddBytes = 24
	longText    = 2 << 10
	// unnamedService is a service that no rules name.
	unnamedService = "elsewhere"
	borrowedBody   = `{"service":%q,"address":%q,"zone":"za","version":"v1","slots":1,"state":%q,"cold_left_ms":%d,"models":[],"seq":%d,"born":%d}`
	// drainingEach is how many borrowed announcements there are for one that says that the upstream leaves, which the log records.
	drainingEach = 10
	// clockAhead is how far ahead the clock of another writer may be.
	clockAhead = time.Hour
)

type (
	// oddWriter writes announcements that no upstream writes: their ids, names, types and bytes are drawn at random. None
	// of them names an upstream that callers could be sent to.
	oddWriter struct {
		random *rand.Rand
	}

	// oddField is a field of an announcement, with the text of its JSON value.
	oddField struct {
		name, value string
	}
)

// plainFields are those of an announcement that is accepted, but for its number and birth.
var plainFields = []oddField{
	{"service", `"elsewhere"`},
	{"address", `"127.0.0.1:9"`},
	{"zone", `"za"`},
	{"version", `"v1"`},
	{"slots", "1"},
	{"state", `"ready"`},
	{"cold_left_ms", "0"},
	{"models", `[{"name":"m","version":1}]`},
	{"layers", `{"from":0,"target":4,"version":1}`},
	{"other", "0"},
}

func newOddWriter(seed uint64) oddWriter {
	return oddWriter{random: rand.New(rand.NewPCG(seed, ^seed))} //nolint:gosec // repeatable
}

// next returns the next call of the writer.
func (w oddWriter) next() standin.Order {
	path := "/v1/instances/" + url.PathEscape("odd-"+w.text())
	if w.random.IntN(8) == 0 {
		return standin.Order{Method: http.MethodDelete, Path: path}
	}
	return standin.Order{Method: http.MethodPut, Path: path, Body: json.RawMessage(w.body())}
}

// borrow returns the announcement of a service that no rules name, at the address of an upstream or under its id, born before, with or
// after it. Some say that it leaves.
func (w oddWriter) borrow(from *standin.Upstream) standin.Order {
	id, address := from.ID(), from.Address()
	switch w.random.IntN(4) {
	case 0:
		address = "127.0.0.1:9"
	case 1:
		id = fmt.Sprint("odd-", w.random.Uint32())
	case 2:
		id = "odd-" + id
	}
	state := "ready"
	if w.random.IntN(drainingEach) == 0 {
		state = "draining"
	}
	births := []int64{from.Born() - 1, from.Born(), from.Born() + 1, wall.Now().UnixMilli(), wall.Now().Add(clockAhead).UnixMilli()}
	body := fmt.Sprintf(borrowedBody, unnamedService, address, state, w.random.IntN(2)*1000, w.random.IntN(1<<20), births[w.random.IntN(len(births))])
	return standin.Order{Method: http.MethodPut, Path: "/v1/instances/" + id, Body: json.RawMessage(body)}
}

// body returns an announcement with up to two fields that are missing, odd, or of another type. Many of them are accepted,
// and some say that the upstream leaves.
func (w oddWriter) body() string {
	fields := append(slices.Clone(plainFields), oddField{"seq", fmt.Sprint(w.random.IntN(1000))}, oddField{"born", fmt.Sprint(wall.Now().UnixMilli())})
	for range w.random.IntN(3) {
		n := w.random.IntN(len(fields))
		fields[n].value = w.value()
		if w.random.IntN(3) == 0 {
			fields = slices.Delete(fields, n, n+1)
		}
	}
	if w.random.IntN(4) == 0 {
		fields = append(fields, oddField{"state", `"draining"`})
	}
	var texts []string
	for _, field := range fields {
		texts = append(texts, fmt.Sprintf("%q:%s", field.name, field.value))
	}
	text := "{" + strings.Join(texts, ",") + "}"
	if w.random.IntN(10) == 0 {
		return text[:w.random.IntN(len(text))]
	}
	return text
}

// value returns the text of a JSON value of any type.
func (w oddWriter) value() string {
	switch w.random.IntN(7) {
	case 0:
		return fmt.Sprint(int64(w.random.Uint64())) //nolint:gosec // any number
	case 1:
		return fmt.Sprint(w.random.NormFloat64() * 1e18)
	case 2:
		return "null"
	case 3:
		return "[]"
	case 4:
		return `{"from":-1}`
	case 5:
		return `"\ud800"`
	}
	return `"` + strings.NewReplacer(`"`, `\"`, `\`, `\\`).Replace(w.text()) + `"`
}

// text returns bytes: printable, of any kind, or very many.
func (w oddWriter) text() string {
	text := make([]byte, 1+w.random.IntN(maxOddBytes))
	lowest, highest := 0, 255
	if w.random.IntN(2) == 0 {
		lowest, highest = 'a', 'z'
	}
	for i := range text {
		text[i] = byte(lowest + w.random.IntN(highest-lowest+1)) //nolint:gosec // at most 255
	}
	if w.random.IntN(20) == 0 {
		return strings.Repeat(string(text), longText/len(text))
	}
	return string(text)
}

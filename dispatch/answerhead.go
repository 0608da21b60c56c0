package dispatch

import (
	"net/http"
	"strconv"

	"figbank/eventstream"
	"figbank/traffic"
)

// checkHead returns an eventstream.Error if an answer calls itself a success on a route of streams, but is no event
// stream. Such an answer has no events whose numbers show that it belongs where it comes.
func checkHead(route *traffic.Route, answer *Answer) error {
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	if !route.Streamed() || !success || answer.Events && answer.Status == http.StatusOK {
		return nil
	}
	return eventstream.NewError(eventstream.FaultHead, "an answer of status "+strconv.Itoa(answer.Status)+" is no event stream", nil)
}

// deliver sends one answer to the caller if its head is right.
func (r *run) deliver(answer *Answer) error {
	if err := checkHead(r.request.Route, answer); err != nil {
		return err
	}
	return r.forward(answer)
}

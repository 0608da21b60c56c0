package engine

import (
	"context"
	"net/http"

	"figbank"
	"figbank/schema"
)

type (
	// Model is a client of an engine that loads weights when ordered to.
	Model struct {
		*client
	}

	// Plain is a client of a service that has no weights and accepts no orders.
	Plain struct {
		*client
	}
)

var (
	_ figbank.Engine = (*Model)(nil)
	_ figbank.Engine = (*Plain)(nil)
)

// NewModel returns a client of the model engine at base.
func NewModel(base string) *Model {
	return &Model{client: newClient(base)}
}

// Status fetches the engine's status.
func (m *Model) Status(ctx context.Context) (*schema.EngineStatus, error) {
	answer, err := m.order(ctx, http.MethodGet, StatusPath, nil)
	if err != nil {
		return nil, err
	}
	if answer.status != http.StatusOK {
		return nil, figbank.WrapError("engine", "Status", StatusError{Path: StatusPath, Status: answer.status})
	}
	status := &schema.EngineStatus{}
	if err := UnmarshalOptions.Unmarshal(answer.body, status); err != nil {
		return nil, figbank.WrapError("engine", "Status", figbank.ProtocolError{Detail: err.Error()})
	}
	return status, nil
}

// Load orders the engine to load and serve the weights in a folder. It returns a
// StaleOrderError if the engine has seen a higher fencing number.
func (m *Model) Load(ctx context.Context, order *schema.LoadOrder) error {
	body, err := MarshalOptions.Marshal(order)
	if err != nil {
		return figbank.WrapError("engine", "Load", err)
	}
	answer, err := m.order(ctx, http.MethodPost, LoadPath, body)
	switch {
	case err != nil:
		return err
	case answer.status == http.StatusConflict:
		return figbank.WrapError("engine", "Load", StaleOrderError{Fencing: figbank.CommitIndex(order.GetFencing())})
	case answer.status >= http.StatusMultipleChoices:
		return figbank.WrapError("engine", "Load", StatusError{Path: LoadPath, Status: answer.status})
	}
	return nil
}

// NewPlain returns a client of the plain service at base.
func NewPlain(base string) *Plain {
	return &Plain{client: newClient(base)}
}

// Status checks the service's health. The service is ready if the HTTP status is below 500. Without
// an answer, Status returns an error.
func (p *Plain) Status(ctx context.Context) (*schema.EngineStatus, error) {
	answer, err := p.order(ctx, http.MethodGet, HealthPath, nil)
	if err != nil {
		return nil, err
	}
	ready := answer.status < http.StatusInternalServerError
	return &schema.EngineStatus{Incarnation: incarnationOf(answer.header), Ready: ready}, nil
}

// Load always fails, since a plain service has no weights.
func (p *Plain) Load(context.Context, *schema.LoadOrder) error {
	return figbank.InvalidError{Subject: "order", Detail: "a service without weights accepts no load orders"}
}

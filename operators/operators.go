// Package operators provides a gateway's HTTP API for operators, and its client:
// publishing declarations, status, timeline and metrics.
package operators

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"figbank"
	"figbank/schema"

	"github.com/gin-gonic/gin"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	// PublishPath accepts declarations.
	PublishPath = "/publish"
	// StatusPath returns the gateway's view of the system.
	StatusPath = "/status"
	// TimelinePath returns the merged events of all processes that the gateway reaches.
	TimelinePath = "/timeline"
	// MetricsPath returns this process's metrics, in the Prometheus text format.
	MetricsPath = "/metrics"

	maxPublishSize = 8 << 20
)

type (
	// Views are the sources of the data that the API returns. The functions are called
	// concurrently.
	Views struct {
		Status   func() *schema.Status
		Timeline func(*http.Request) []*schema.Event
		Metrics  http.Handler
	}

	// API handles operators' HTTP requests.
	API struct {
		common   figbank.Common
		proposer figbank.Proposer
		views    Views
		// keys are the hex SHA-256 digests of the operators' keys.
		keys []string
	}

	// Problem is the JSON body of a refusal.
	Problem struct {
		Title  string `json:"title"`
		Status int    `json:"status"`
		Detail string `json:"detail"`
		// Outcome is NotAccepted or Unknown.
		Outcome string `json:"Outcome"`
	}
)

// jsonOptions makes messages use the field names of the schema in JSON.
var jsonOptions = protojson.MarshalOptions{UseProtoNames: true}

// New returns the API. The keys are the hex SHA-256 digests of the operators' keys.
func New(common figbank.Common, proposer figbank.Proposer, views Views, keys []string) *API {
	return &API{common: common.Named("operators"), proposer: proposer, views: views, keys: keys}
}

// Handler returns the HTTP handler of the API. All paths but MetricsPath need an
// operator's key.
func (a *API) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET(MetricsPath, gin.WrapH(a.views.Metrics))
	authenticated := router.Group("", a.authenticate)
	authenticated.POST(PublishPath, a.publish)
	authenticated.GET(StatusPath, func(c *gin.Context) { respond(c, a.views.Status()) })
	authenticated.GET(TimelinePath, func(c *gin.Context) {
		respond(c, &schema.Timeline{Events: a.views.Timeline(c.Request)})
	})
	return router
}

func (a *API) authenticate(c *gin.Context) {
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	if found && slices.Contains(a.keys, hex.EncodeToString(sum[:])) {
		return
	}
	respondProblem(c, http.StatusUnauthorized, "Key refused", "an operator's key is needed, as Authorization: Bearer KEY", "NotAccepted")
}

// publish proposes the declarations of the request to the log. The request body is a
// schema.Publish in JSON.
func (a *API) publish(c *gin.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxPublishSize))
	if err != nil {
		respondProblem(c, http.StatusRequestEntityTooLarge, "Body refused", err.Error(), "NotAccepted")
		return
	}
	publish := &schema.Publish{}
	if err := protojson.Unmarshal(body, publish); err != nil {
		respondProblem(c, http.StatusBadRequest, "Invalid body", err.Error(), "NotAccepted")
		return
	}
	if detail := checkDeclarations(publish); detail != "" {
		respondProblem(c, http.StatusBadRequest, "Invalid declaration", detail, "NotAccepted")
		return
	}
	result, err := a.proposer.Propose(c.Request.Context(), &schema.Command{Action: &schema.Command_Publish{Publish: publish}})
	if err != nil {
		a.respondProposeError(c, err)
		return
	}
	if result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
		respondProblem(c, http.StatusConflict, titleOf(result.GetRefusal()), result.GetDetail(), "NotAccepted")
		return
	}
	a.common.Recorder.Record(&schema.Event{Part: "operators", Name: "Published", CommitIndex: result.GetCommitIndex()})
	respond(c, &schema.PublishAnswer{Result: result})
}

// respondProposeError responds that the declarations were not accepted if err is a
// NotAcceptedError. After any other error, it responds that the outcome is unknown.
func (a *API) respondProposeError(c *gin.Context, err error) {
	if errors.As(err, new(figbank.NotAcceptedError)) {
		respondProblem(c, http.StatusServiceUnavailable, "Not accepted", err.Error(), "NotAccepted")
		return
	}
	respondProblem(c, http.StatusGatewayTimeout, "Outcome unknown", err.Error()+"; publish the same files again", "Unknown")
}

func titleOf(refusal schema.Refusal) string {
	switch refusal {
	case schema.Refusal_REFUSAL_STALE:
		return "Stale revision"
	case schema.Refusal_REFUSAL_CONFLICT:
		return "Conflicting revision"
	default:
		return "Refused"
	}
}

func respondProblem(c *gin.Context, status int, title, detail, outcome string) {
	c.AbortWithStatusJSON(status, Problem{Title: title, Status: status, Detail: detail, Outcome: outcome})
}

func respond(c *gin.Context, message proto.Message) {
	content, err := jsonOptions.Marshal(message)
	if err != nil {
		respondProblem(c, http.StatusInternalServerError, "Internal error", err.Error(), "Unknown")
		return
	}
	c.Data(http.StatusOK, "application/json", content)
}

// Package operators is the operators' HTTP interface of a gateway: publishing,
// status, time line and metrics.
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
	// PublishPath takes declarations.
	PublishPath = "/publish"
	// StatusPath shows the gateway's view of the system.
	StatusPath = "/status"
	// TimelinePath shows the merged events of all processes in reach.
	TimelinePath = "/timeline"
	// MetricsPath shows this process's metrics, in the Prometheus text format.
	MetricsPath = "/metrics"

	maxPublish = 8 << 20
)

type (
	// Views are what the interface shows.
	Views struct {
		Status   func() *schema.Status
		Timeline func(*http.Request) []*schema.Event
		Metrics  http.Handler
	}

	// Interface serves operators.
	Interface struct {
		common   figbank.Common
		proposer figbank.Proposer
		views    Views
		// keys are hex SHA-256 digests of operators' keys.
		keys []string
	}

	// Problem is the body of a refusal.
	Problem struct {
		Title   string `json:"title"`
		Status  int    `json:"status"`
		Detail  string `json:"detail"`
		Outcome string `json:"Outcome"`
	}
)

// jsonForm is the JSON form of all answers.
var jsonForm = protojson.MarshalOptions{UseProtoNames: true}

// New returns the interface; keys are hex SHA-256 digests.
func New(common figbank.Common, proposer figbank.Proposer, views Views, keys []string) *Interface {
	return &Interface{common: common.For("operators"), proposer: proposer, views: views, keys: keys}
}

// Handler serves the interface.
func (i *Interface) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET(MetricsPath, gin.WrapH(i.views.Metrics))
	guarded := router.Group("", i.authenticate)
	guarded.POST(PublishPath, i.publish)
	guarded.GET(StatusPath, func(c *gin.Context) { write(c, i.views.Status()) })
	guarded.GET(TimelinePath, func(c *gin.Context) {
		write(c, &schema.Timeline{Events: i.views.Timeline(c.Request)})
	})
	return router
}

func (i *Interface) authenticate(c *gin.Context) {
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	if found && slices.Contains(i.keys, hex.EncodeToString(sum[:])) {
		return
	}
	refuse(c, http.StatusUnauthorized, "Key refused", "an operator's key is needed, as Authorization: Bearer KEY", "NotAccepted")
}

// publish gets declarations accepted. The body is a schema.Publish in JSON.
func (i *Interface) publish(c *gin.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxPublish))
	if err != nil {
		refuse(c, http.StatusRequestEntityTooLarge, "Body refused", err.Error(), "NotAccepted")
		return
	}
	offer := &schema.Publish{}
	if err := protojson.Unmarshal(body, offer); err != nil {
		refuse(c, http.StatusBadRequest, "Invalid body", err.Error(), "NotAccepted")
		return
	}
	if detail := checkOffer(offer); detail != "" {
		refuse(c, http.StatusBadRequest, "Invalid declaration", detail, "NotAccepted")
		return
	}
	result, err := i.proposer.Propose(c.Request.Context(), &schema.Command{Action: &schema.Command_Publish{Publish: offer}})
	if err != nil {
		i.refuseUnaccepted(c, err)
		return
	}
	if result.GetRefusal() != schema.Refusal_REFUSAL_NONE {
		refuse(c, http.StatusConflict, titleOf(result.GetRefusal()), result.GetDetail(), "NotAccepted")
		return
	}
	i.common.Recorder.Record(&schema.Event{Part: "operators", Name: "Published", CommitIndex: result.GetCommitIndex()})
	write(c, &schema.PublishAnswer{Result: result})
}

// refuseUnaccepted tells apart what was certainly not accepted and what may be.
func (i *Interface) refuseUnaccepted(c *gin.Context, err error) {
	if errors.As(err, new(figbank.NotAcceptedError)) {
		refuse(c, http.StatusServiceUnavailable, "Not accepted", err.Error(), "NotAccepted")
		return
	}
	refuse(c, http.StatusGatewayTimeout, "Outcome unknown", err.Error()+"; publish the same files again", "Unknown")
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

func refuse(c *gin.Context, status int, title, detail, outcome string) {
	c.AbortWithStatusJSON(status, Problem{Title: title, Status: status, Detail: detail, Outcome: outcome})
}

func write(c *gin.Context, message proto.Message) {
	content, err := jsonForm.Marshal(message)
	if err != nil {
		refuse(c, http.StatusInternalServerError, "Internal error", err.Error(), "Unknown")
		return
	}
	c.Data(http.StatusOK, "application/json", content)
}

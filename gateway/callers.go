package gateway

import (
	"net/http"
	"strings"

	"figbank"
	"figbank/configuration"

	"github.com/gin-gonic/gin"
)

const (
	kindModel = "Model"
	kindPlain = "Plain"
)

// routes builds the callers' HTTP interface.
func (g *Gateway) routes() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.RedirectTrailingSlash = false
	router.HandleMethodNotAllowed = true
	router.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET("/readyz", g.serveReady)
	router.GET("/v1/models", g.serveModels)
	router.POST(chatPath, g.serveChat)
	router.Any("/services/:name/*path", g.servePlain)
	return router
}

func (g *Gateway) serveReady(c *gin.Context) {
	if g.Ready() {
		c.Status(http.StatusOK)
		return
	}
	c.Status(http.StatusServiceUnavailable)
}

// serveModels lists the models that the caller's workspace may use.
func (g *Gateway) serveModels(c *gin.Context) {
	workspace, err := g.authenticate(c.Request)
	if err != nil {
		writeProblem(c.Writer, newRequestID(), err)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	for _, service := range g.holder.Current().GetServices() {
		declared := service.GetCurrent().GetDeclaration().GetService()
		if declared.GetKind() == kindModel && configuration.Allows(declared, workspace) {
			models = append(models, model{ID: declared.GetName(), Object: "model"})
		}
	}
	c.JSON(http.StatusOK, gin.H{"object": "list", "data": models})
}

func (g *Gateway) serveChat(c *gin.Context) {
	g.serve(c, kindModel, (*request).asChat)
}

func (g *Gateway) servePlain(c *gin.Context) {
	g.serve(c, kindPlain, func(req *request) error {
		// The path goes on as the caller wrote it, escapes included.
		_, path, _ := strings.Cut(strings.TrimPrefix(c.Request.URL.EscapedPath(), "/services/"), "/")
		req.asService(c.Param("name"), "/"+path, c.Request.URL.RawQuery)
		return nil
	})
}

// serve takes one request through all steps. Target fills in what it is for.
func (g *Gateway) serve(c *gin.Context, kind string, target func(*request) error) {
	g.running.Add(1)
	defer g.running.Done()
	if g.shutting.Load() == refusing {
		writeProblem(c.Writer, newRequestID(), figbank.NotRunError{Reason: figbank.ReasonShuttingDown})
		return
	}
	workspace, err := g.authenticate(c.Request)
	if err != nil {
		writeProblem(c.Writer, newRequestID(), err)
		return
	}
	req, err := g.readRequest(c.Request, workspace)
	if err != nil {
		writeProblem(c.Writer, newRequestID(), err)
		return
	}
	defer req.reservation.release()
	if err := target(req); err != nil {
		writeProblem(c.Writer, req.ID, err)
		return
	}
	if err := g.permit(req, kind); err != nil {
		writeProblem(c.Writer, req.ID, err)
		return
	}
	g.answer(c, req)
}

// answer runs a permitted request and finishes its answer, or cuts it visibly.
func (g *Gateway) answer(c *gin.Context, req *request) {
	ctx := c.Request.Context()
	started := g.common.Clock.Now()
	reply := newReply(c.Writer, req.ID)
	g.event("Received", req, "")
	err := g.runOnce(ctx, req, reply)
	g.traffic.count(req.Service, outcomeOf(err))
	g.common.Scope.Tagged(map[string]string{"service": string(req.Service), "outcome": nameOf(outcomeOf(err))}).Counter("requests").Inc(1)
	g.common.Scope.Timer("request_time").Record(g.common.Clock.Now().Sub(started))
	switch {
	case err == nil:
		g.event("Answered", req, "")
	case reply.Started():
		g.event("Cut", req, err.Error())
		// Ends the connection without the mark of a whole answer.
		panic(http.ErrAbortHandler)
	default:
		g.event("Refused", req, err.Error())
		writeProblem(c.Writer, req.ID, err)
	}
}

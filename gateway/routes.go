package gateway

import (
	"net/http"
	"strings"

	"figbank"
	"figbank/configuration"
	"figbank/httpserver"

	"github.com/gin-gonic/gin"
)

const (
	kindModel = "Model"
	kindPlain = "Plain"
)

// routes returns the router of the HTTP interface for callers.
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
	g.serve(c, kindModel, (*request).parseChat)
}

func (g *Gateway) servePlain(c *gin.Context) {
	g.serve(c, kindPlain, func(req *request) error {
		// The path is forwarded as the caller wrote it, including escapes.
		_, path, _ := strings.Cut(strings.TrimPrefix(c.Request.URL.EscapedPath(), "/services/"), "/")
		req.setService(c.Param("name"), "/"+path, c.Request.URL.RawQuery)
		return nil
	})
}

// refuseUnread refuses a request whose body may not have been read.
func (g *Gateway) refuseUnread(c *gin.Context, err error) {
	httpserver.LimitUnreadBody(g.common.Clock, c.Writer, c.Request)
	writeProblem(c.Writer, newRequestID(), err)
}

// serve handles one request from authentication to response. The function
// setTarget fills in the service, path, cost and affinity of the request.
func (g *Gateway) serve(c *gin.Context, kind string, setTarget func(*request) error) {
	g.running.Add(1)
	defer g.running.Done()
	if g.stage.Load() == refusing {
		g.refuseUnread(c, figbank.NotRunError{Reason: figbank.ReasonShuttingDown})
		return
	}
	workspace, err := g.authenticate(c.Request)
	if err != nil {
		g.refuseUnread(c, err)
		return
	}
	req, err := g.readRequest(c.Writer, c.Request, workspace)
	if err != nil {
		g.refuseUnread(c, err)
		return
	}
	defer req.reservation.Release()
	if err := setTarget(req); err != nil {
		writeProblem(c.Writer, req.ID, err)
		return
	}
	if err := g.authorize(req, kind); err != nil {
		writeProblem(c.Writer, req.ID, err)
		return
	}
	g.respond(c, req)
}

// respond runs an authorized request and writes its response. If the request
// fails after part of the response was sent, it aborts the connection.
func (g *Gateway) respond(c *gin.Context, req *request) {
	ctx := c.Request.Context()
	started := g.common.Clock.Now()
	response := newResponseWriter(c.Writer, req.ID)
	g.recordEvent("Received", req, "")
	err := g.runOnce(ctx, req, response)
	g.requestCounts.add(req.Service, outcomeOf(err))
	g.common.Scope.Tagged(map[string]string{"service": string(req.Service), "outcome": outcomeName(outcomeOf(err))}).Counter("requests").Inc(1)
	g.common.Scope.Timer("request_time").Record(g.common.Clock.Now().Sub(started))
	switch {
	case err == nil:
		g.recordEvent("Answered", req, "")
	case response.Started():
		g.recordEvent("Cut", req, err.Error())
		// Abort the connection, so that the caller notices that the response is
		// incomplete.
		panic(http.ErrAbortHandler)
	default:
		g.recordEvent("Refused", req, err.Error())
		writeProblem(c.Writer, req.ID, err)
	}
}

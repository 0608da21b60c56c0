package timeline

import (
	"html/template"
	"io"
	"strconv"
	"time"

	"figbank"
	"figbank/schema"
)

// row holds the texts of one event in the HTML page.
type row struct {
	At      string
	Process string
	Part    string
	Name    string
	Subject string
	Detail  string
}

var page = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Time line</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th, td { text-align: left; padding: 2px 10px; border-bottom: 1px solid #ddd; }
th { position: sticky; top: 0; background: #fff; }
input { width: 30em; margin-bottom: 1em; }
</style>
</head>
<body>
<h1>Time line</h1>
<input id="filter" placeholder="Show rows that contain ...">
<table>
<thead><tr><th>Time (UTC)</th><th>Process</th><th>Part</th><th>Event</th><th>Subject</th><th>Detail</th></tr></thead>
<tbody>
{{range .}}<tr><td>{{.At}}</td><td>{{.Process}}</td><td>{{.Part}}</td><td>{{.Name}}</td><td>{{.Subject}}</td><td>{{.Detail}}</td></tr>
{{end}}</tbody>
</table>
<script>
const filter = document.getElementById("filter");
filter.addEventListener("input", () => {
  for (const row of document.querySelectorAll("tbody tr")) {
    row.hidden = !row.textContent.includes(filter.value);
  }
});
</script>
</body>
</html>
`))

// WriteHTML writes events as a self-contained HTML page.
func WriteHTML(w io.Writer, events []*schema.Event) error {
	rows := make([]row, len(events))
	for i, event := range events {
		rows[i] = row{
			At:      time.Unix(0, event.GetStamp().GetWallUnixNano()).UTC().Format("15:04:05.000000"),
			Process: event.GetProcess(), Part: event.GetPart(), Name: event.GetName(),
			Subject: subjectText(event), Detail: event.GetDetail(),
		}
	}
	return figbank.WrapError("timeline", "WriteHTML", page.Execute(w, rows))
}

func subjectText(event *schema.Event) string {
	switch {
	case event.GetRequestId() != "":
		return "request " + event.GetRequestId()
	case event.GetChunk() != "":
		return "chunk " + event.GetChunk()
	case event.GetCommitIndex() != 0:
		return "commit " + strconv.FormatUint(event.GetCommitIndex(), 10)
	}
	return event.GetUpstream()
}

package report

import (
	_ "embed"
	"encoding/base64"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page is the content of report.html.
type page struct {
	Command    string
	Date       time.Time
	Processors int
	Took       time.Duration
	Sections   []section
}

// section is the part of the page about one benchmark.
type section struct {
	Name     string
	CSV      string // name of the CSV file
	Table    string
	Pictures []picture
}

type picture struct {
	Title string
	Data  template.URL
}

func newPicture(title string, png []byte) picture {
	return picture{Title: title, Data: template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png))}
}

func (p page) write(w io.Writer) error { return pageTemplate.Execute(w, p) }

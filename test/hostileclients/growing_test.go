package hostileclients

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// elements returns a JSON array of copies of an element, which takes the given number of bytes.
func elements(element string, size int) string {
	return "[" + strings.TrimSuffix(strings.Repeat(element+",", size/(len(element)+1)), ",") + "]"
}

// sendAll sends whole requests, each of which the client completes.
func sendAll(head, content string) traffic {
	send := sendWhole(head, []byte(content))
	return func(conn net.Conn, _ bool) error { return send(conn, true) }
}

// restBytes leaves room for the rest of a body beside its list.
const restBytes = 1000

// Guards against an entry process that passes its memory limit because a body inside the limits takes many times its
// size once it is decoded.
func TestEntryWithBodiesThatGrow(t *testing.T) {
	const size = jobBodyBytes - restBytes
	step := func(fields string) string { return `{"spec":"x","steps":[{"count":1,` + fields + `}]}` }
	for _, kind := range []struct{ name, job string }{
		{"many steps", `{"spec":"x","steps":` + elements("{}", size) + `}`},
		{"many dependencies", step(`"dependsOn":` + elements("0", size))},
		{"repeated list", `{"spec":"x",` + strings.TrimSuffix(strings.Repeat(`"steps":`+elements("{}", size/10)+`,`, 10), ",") + `}`},
		{"invalid text", `{"spec":"` + strings.Repeat("\xff", size) + `","steps":[` + stepOfOneTask + `]}`},
		{"nested unknown field", `{"spec":"x","other":` + strings.Repeat(`[`, 5000) + strings.Repeat(`]`, 5000) + `,"more":` + elements("{}", size-20_000) + `}`},
	} {
		t.Run(kind.name, func(t *testing.T) {
			if len(kind.job) > jobBodyBytes {
				t.Fatalf("the body has %d bytes", len(kind.job))
			}
			s := startSystem(t)
			startCrowd(t, s.clientsAddress(), entryCrowd, sendAll(jobHead, kind.job))
			s.expectJobAccepted()
			s.checkBounds(s.entry)
			s.checkBounds(s.control)
		})
	}
}

// Guards against the same for a control process, with configurations and reports of workers.
func TestControlWithBodiesThatGrow(t *testing.T) {
	const size = reportBodyBytes - restBytes
	const configHead = "POST /godwitlink/Config.Replace HTTP/1.1\r\nHost: h\r\n"
	config := func(fields string) string { return `{"version":99,"routes":[],"services":[],` + fields + `}` }
	for _, kind := range []struct{ name, head, content string }{
		{"many services", configHead, `{"version":99,"routes":[],"services":` + elements("{}", size) + `}`},
		{"many routes", configHead, `{"version":99,"services":[],"routes":` + elements("{}", size) + `}`},
		{"many teams", configHead, config(`"tenants":` + elements("{}", size))},
		{"many keys", configHead, config(`"tenants":[{"name":"a","apiKeys":` + elements(`""`, size) + `}]`)},
		{"many labels", reportHead, fmt.Sprintf(`{"service":"s","address":"%s:1","zone":"z","state":"ready","capacity":{},"labels":%s}`, loopbackIP(9), elements(`""`, size))},
	} {
		t.Run(kind.name, func(t *testing.T) {
			s := startSystem(t)
			startCrowd(t, s.controlAddress(), controlCrowd, sendAll(kind.head, kind.content))
			s.expectConfigRead()
			s.expectJobAccepted()
			s.checkBounds(s.entry)
			s.checkBounds(s.control)
		})
	}
}

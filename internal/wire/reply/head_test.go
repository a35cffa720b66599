package reply_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"github.com/cicadahall/cicadahall/internal/wire/reply"
)

func ExampleCheck() {
	for _, line := range []string{"HTTP/1.1 000 Odd", "HTTP/1.1 200 OK"} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(line+"\r\nContent-Length: 0\r\n\r\n")), nil)
		if err != nil {
			fmt.Println(err)
			continue
		}
		fmt.Println(reply.Check(resp))
		_ = resp.Body.Close()
	}
	// Output:
	// malformed response: final status 000 isn't from 200 to 599
	// <nil>
}

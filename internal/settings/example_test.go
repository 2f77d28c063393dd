package settings_test

import (
	"fmt"

	"github.com/bergamotway/bergamotway/internal/settings"
)

func ExampleDecode() {
	var target struct {
		Listen string `json:"listen" check:"required ip-port"`
	}
	fmt.Println(settings.Decode([]byte("{\n  // The listen address.\n  \"listen\": \"localhost:80\"\n}"), &target))
	// Output:
	// settings: 1 fault(s)
	//   line 3: $.listen: must be an IP number and a port from 1 to 65535, such as 10.0.0.1:8080 (found "localhost:80")
}

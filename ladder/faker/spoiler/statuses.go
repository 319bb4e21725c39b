package spoiler

// Statuses maps what a server sends to whether it is a valid response.
var Statuses = map[string]bool{
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                                                 true,
	"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n":                                                                    true,
	"HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n":                                                                true,
	"HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\nbody": true,
	"HTTP/1.1 000 OK\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                    false,
	"HTTP/1.1 099 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                                                               false,
	"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                                              false,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n":                                                         false,
	"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n":                                                                false,
	"HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n":                                                                false,
}

// Package httpsyntax checks the parts of an HTTP/1.1 request that are written into its head, by the grammar of RFC 9112, RFC 9110 and RFC 3986.
package httpsyntax

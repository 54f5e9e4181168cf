// Package operator is the interface towards operators: declarations put in force as a whole, and questions.
package operator

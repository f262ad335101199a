// Package meshpb holds the messages between the system's own processes, generated from mesh.proto by make proto.
package meshpb

"""Transport between instances over gRPC, with MessagePack bodies."""

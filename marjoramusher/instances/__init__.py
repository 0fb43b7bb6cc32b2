"""Transport between instances: grpclib with a msgspec codec."""

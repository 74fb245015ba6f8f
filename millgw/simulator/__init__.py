"""The balancer behind the simulator's binary protocol: frames in and out, one Balancer per instance."""

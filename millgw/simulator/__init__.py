"""The decisions on the simulator's wire: frames in and out, and one Balancer for each instance."""

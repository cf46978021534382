"""demo: Run the whole system on loopback, with a stand-in fabric and upstreams."""

.PHONY: build test readiness lint demo run toys sign bench

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace --all-features

# Restarts 100 directors at once for each kind of discovery service fault; `make test` restarts 30.
readiness:
	FOXHOLD_READINESS_PROCESSES=100 cargo test --locked --test readiness -- --nocapture

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets --all-features -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --all-features --no-deps --quiet

# Runs a director for the example deployment, with both frontends.
run: build
	ROUTER_CONFIG=examples/config.json FOXHOLD_FRONT=examples/foxhold.yaml target/release/foxhold

# Runs the servers of the example deployment until interrupted.
toys:
	cargo run --locked --example example_servers

# Prints a signed link of the example deployment.
sign:
	@cargo run --locked --quiet --example sign -- /guide-videos/one.mp4

# Runs the example servers and a director, and sends requests through both frontends.
demo: build
	@cargo run --locked --quiet --example demo

# Measures the time of a decision (criterion) and of a request through the daemon and through the library.
bench:
	cargo bench --locked --bench decide
	cargo run --locked --release -p foxhold-testbed -- overhead

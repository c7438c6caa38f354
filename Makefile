.PHONY: build test readiness lint demo run toys sign bench

build:
	cargo build --locked --release

test:
	cargo test --locked --workspace --all-features

# 100 directors restarted at once before each kind of trouble with the board; 30 among the tests.
readiness:
	FOXHOLD_READINESS_PROCESSES=100 cargo test --locked --test readiness -- --nocapture

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets --all-features -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --all-features --no-deps --quiet

# A director for the example deployment, with both frontends.
run: build
	ROUTER_CONFIG=examples/config.json FOXHOLD_FRONT=examples/foxhold.yaml target/release/foxhold

# The servers of the example deployment; runs until it is stopped.
toys:
	cargo run --locked --example example_servers

# A signed link to try.
sign:
	@cargo run --locked --quiet --example sign -- /guide-videos/one.mp4

# All of it at once: the example servers, the director with both frontends, and some requests through each.
demo: build
	@cargo run --locked --quiet --example demo

# What a decision costs, by criterion; and a request through daemon and library.
bench:
	cargo bench --locked --bench decide
	cargo run --locked --release -p foxhold-testbed -- overhead

#!/bin/sh
# Builds the programs of the cases 6 to 10, with the stand-ins that they start. The build of the deploy file comes
# first. The cases use the standard library only; the host application of case 6 uses the director's library with
# its middleware, as the project's example `axum` does, and takes the libraries that cargo built for that example.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    rustc --edition 2021 -O -o "target/review-2/case-$number" "review/$number/case.rs"
done
built=target/review-2/libraries.json
cargo build --locked --release --features axum --example axum --message-format=json >"$built"
library() {
    sed -n "s/.*\"filenames\":\[\"\([^\"]*lib$1-[0-9a-f]*\.rlib\)\".*/\1/p" "$built" | tail -n 1
}
rustc --edition 2021 -O -o target/review-2/host review/standins-2/host.rs -L dependency=target/release/deps \
    --extern "foxhold=$(library foxhold)" --extern "axum=$(library axum)" --extern "tokio=$(library tokio)"

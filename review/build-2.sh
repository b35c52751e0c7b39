#!/bin/bash
# Builds what the scripts of review/4 to review/8 start beside the project's own programs: the stand-ins of clients, servers
# and operators in review/standins-2. To be run from anywhere, after the build of the deploy file; needs javac only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/standins-2/review2/*.java

#!/bin/bash
cd "$(dirname "$0")" && exec ../bin/cases late-heartbeat-after-a-restart

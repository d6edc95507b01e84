#!/bin/sh
folder=$(dirname "$0")
exec "$folder/../standin-3/play.sh" frozen-frontend "$folder"

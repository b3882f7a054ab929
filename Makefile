# boragemoor: make [all|deps|format|lint|check|demo|bench|matrix|slopes]
ifeq ($(MAKELEVEL),0)
MAKEFLAGS += -j$(shell nproc) --no-print-directory
endif

PACKAGES := libmsgpack-dev libck-dev libmicrohttpd-dev libcurl4-openssl-dev \
	libpopt-dev libcunit1-dev libinih-dev libjansson-dev libxxhash-dev \
	libgsl-dev libsodium-dev libzstd-dev gnuplot-nox clang-format clang-tidy \
	gcc make

SANITIZE ?=
ifeq ($(SANITIZE),)
BUILD := build
SANFLAGS :=
else ifeq ($(SANITIZE),thread)
BUILD := build-thread
SANFLAGS := -fsanitize=thread -fno-omit-frame-pointer
else
BUILD := build-address
SANFLAGS := -fsanitize=address,undefined -fno-sanitize-recover=all \
	-fno-omit-frame-pointer
endif

CFLAGS ?= -O2 -g
CPPFLAGS += -D_GNU_SOURCE -Isrc -Iplatform -Idemo -Isoak
ALL_CFLAGS := -std=gnu11 -Wall -Wextra -Werror -pthread $(CFLAGS) $(SANFLAGS)
LDLIBS := -lmicrohttpd -lcurl -lmsgpackc -lck -linih -ljansson -lxxhash \
	-lpopt -lsodium -lzstd -lgsl -lgslcblas -lm

MAINS := $(wildcard src/bm_*.c) src/bmctl.c src/bmlog.c
LIB_SRC := $(filter-out $(MAINS),$(wildcard src/*.c))
LIB_OBJ := $(LIB_SRC:src/%.c=$(BUILD)/%.o)
PROGRAMS := $(patsubst src/bm_%.c,$(BUILD)/bm-%,$(wildcard src/bm_*.c))
PROGRAMS := $(subst _,-,$(PROGRAMS)) $(BUILD)/bmctl $(BUILD)/bmlog
PLATFORM_MAINS := $(wildcard platform/bm_*.c)
PLATFORM_SRC := $(filter-out $(PLATFORM_MAINS),$(wildcard platform/*.c))
PLATFORM_OBJ := $(PLATFORM_SRC:platform/%.c=$(BUILD)/platform/%.o)
PLATFORM_PROGRAMS := $(subst _,-,$(patsubst platform/bm_%.c,$(BUILD)/bm-%,$(PLATFORM_MAINS)))
PROGRAMS += $(PLATFORM_PROGRAMS)
# Stand-ins of the platform, for the demo and tests.
DEMO_MAINS := $(wildcard demo/bm_*.c)
DEMO_SRC := $(filter-out $(DEMO_MAINS),$(wildcard demo/*.c))
DEMO_OBJ := $(DEMO_SRC:demo/%.c=$(BUILD)/demo/%.o)
# The fault soak of the platform's programs; shares the demo's stand-ins.
SOAK_SRC := $(filter-out $(wildcard soak/bm_*.c),$(wildcard soak/*.c))
SOAK_OBJ := $(SOAK_SRC:soak/%.c=$(BUILD)/soak/%.o)
TEST_SRC := $(wildcard tests/*.c)
TEST_OBJ := $(TEST_SRC:tests/%.c=$(BUILD)/tests/%.o)
HEADERS := $(wildcard src/*.h platform/*.h demo/*.h soak/*.h tests/*.h)
FORMATTED := $(wildcard src/*.[ch] platform/*.[ch] demo/*.[ch] soak/*.[ch] tests/*.[ch])
LINTED := $(LIB_SRC) $(MAINS) $(PLATFORM_SRC) $(PLATFORM_MAINS) $(DEMO_SRC) \
	$(DEMO_MAINS) $(wildcard soak/*.c) $(TEST_SRC)

.PHONY: all platform deps format format-check lint check demo demo-platform demo-failures soak soak-mutants bench bench-update matrix slopes report clean
.SECONDARY:

all: $(BUILD)/libboragemoor.a $(PROGRAMS)

# What deploy/system.toml runs, without the tests.
platform: $(PLATFORM_PROGRAMS)

deps:
	@sh .ci/deps $(PACKAGES)

$(BUILD)/%.o: src/%.c $(HEADERS)
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(ALL_CFLAGS) -c $< -o $@

$(BUILD)/platform/%.o: platform/%.c $(HEADERS)
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(ALL_CFLAGS) -c $< -o $@

$(BUILD)/demo/%.o: demo/%.c $(HEADERS)
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(ALL_CFLAGS) -c $< -o $@

$(BUILD)/bm-platform-demo: $(BUILD)/demo/bm_platform_demo.o $(DEMO_OBJ) $(BUILD)/libboragemoor.a
	$(CC) $(ALL_CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/soak/%.o: soak/%.c $(HEADERS)
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(ALL_CFLAGS) -c $< -o $@

$(BUILD)/bm-soak: $(BUILD)/soak/bm_soak.o $(SOAK_OBJ) $(DEMO_OBJ) $(BUILD)/libboragemoor.a
	$(CC) $(ALL_CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/tests/%.o: tests/%.c $(HEADERS)
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) -Itests $(ALL_CFLAGS) -c $< -o $@

$(BUILD)/libboragemoor.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

# The same library with the wrong decisions that prove the fault matrix; only
# tests and the matrix link it.
$(BUILD)/mutant/%.o: src/%.c $(HEADERS)
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) -DBM_MUTANTS $(ALL_CFLAGS) -c $< -o $@

$(BUILD)/libboragemoor-mutant.a: $(LIB_SRC:src/%.c=$(BUILD)/mutant/%.o)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/mutant/platform/%.o: platform/%.c $(HEADERS)
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) -DBM_MUTANTS $(ALL_CFLAGS) -c $< -o $@

# With wrong decisions that prove the soak.
MUTANT_PROGRAMS := $(PLATFORM_PROGRAMS:$(BUILD)/%=$(BUILD)/mutant/%)
MUTANT_PLATFORM_OBJ := $(PLATFORM_SRC:platform/%.c=$(BUILD)/mutant/platform/%.o)

$(BUILD)/mutant/bm-bench: $(BUILD)/bm_bench.o $(BUILD)/libboragemoor-mutant.a
	$(CC) $(ALL_CFLAGS) $^ $(LDLIBS) -o $@

.SECONDEXPANSION:
$(PLATFORM_PROGRAMS): $(BUILD)/bm-platform-%: $(BUILD)/platform/bm_platform_%.o $(PLATFORM_OBJ) $(BUILD)/libboragemoor.a
	$(CC) $(ALL_CFLAGS) $^ $(LDLIBS) -o $@

$(MUTANT_PROGRAMS): $(BUILD)/mutant/bm-platform-%: $(BUILD)/mutant/platform/bm_platform_%.o $(MUTANT_PLATFORM_OBJ) $(BUILD)/libboragemoor-mutant.a
	$(CC) $(ALL_CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/bm-%: $(BUILD)/bm_$$(subst -,_,$$*).o $(BUILD)/libboragemoor.a
	$(CC) $(ALL_CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/bmctl $(BUILD)/bmlog: $(BUILD)/%: $(BUILD)/%.o $(BUILD)/libboragemoor.a
	$(CC) $(ALL_CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/check: $(TEST_OBJ) $(BUILD)/soak/plan.o $(BUILD)/soak/procs.o $(PLATFORM_OBJ) $(BUILD)/libboragemoor-mutant.a
	$(CC) $(ALL_CFLAGS) $^ -lcunit $(LDLIBS) -o $@

format:
	clang-format -i $(FORMATTED)

format-check:
	@clang-format --dry-run -Werror $(FORMATTED)

$(BUILD)/lint/%.ok: % $(HEADERS) .clang-tidy
	@mkdir -p $(dir $@)
	@clang-tidy --quiet $< -- $(CPPFLAGS) -Itests -std=gnu11 2>$@.err || \
		{ cat $@.err; exit 1; }
	@touch $@

lint: $(LINTED:%=$(BUILD)/lint/%.ok)

check: deps
	@$(MAKE) format-check lint
	@$(MAKE) all $(BUILD)/check
	@$(BUILD)/check tests

demo: deps
	@$(MAKE) all
	@sh demo/run $(BUILD)

# The programs of the users' platform, broken half-way, checked from outside.
demo-platform: deps
	@$(MAKE) all $(BUILD)/bm-platform-demo
	@sh demo/platform $(BUILD)

# Three failed jobs, and the way from the number of each to its cause.
demo-failures: deps
	@$(MAKE) all $(BUILD)/bm-platform-demo
	@sh demo/failures $(BUILD)

# Drawn faults on running programs: make soak SEED=n MINUTES=m [PAIRS=1]
SEED ?= 1
MINUTES ?= 1
soak: deps
	@$(MAKE) all $(BUILD)/bm-soak
	@$(BUILD)/bm-soak --build $(BUILD) --seed $(SEED) --minutes $(MINUTES) $(if $(PAIRS),--pairs --workers 28) $(if $(EVACUATIONS),--evacuations)

# Each wrong decision of a real process has to be found within ten minutes.
soak-mutants: deps
	@$(MAKE) all $(BUILD)/bm-soak $(MUTANT_PROGRAMS)
	@sh soak/mutants $(BUILD)

WORKLOADS := $(sort $(wildcard bench/workloads/*.ini))

bench: deps
	@$(MAKE) $(BUILD)/bm-bench
	@$(BUILD)/bm-bench --bounds bench/bounds.ini $(WORKLOADS)
	@$(BUILD)/bm-bench --replays --seeds 2

bench-update: deps
	@$(MAKE) $(BUILD)/bm-bench
	@$(BUILD)/bm-bench --bounds bench/bounds.ini --update $(WORKLOADS)

# Plots of response and wasted messages against load, policy and baselines.
report: deps
	@$(MAKE) $(BUILD)/bm-bench
	@mkdir -p $(BUILD)/report
	@$(BUILD)/bm-bench --report $(BUILD)/report bench/workloads/tatranska-80.ini
	@cd $(BUILD)/report && gnuplot *.gp && ls *.png

slopes: deps
	@$(MAKE) $(BUILD)/bm-bench
	@$(BUILD)/bm-bench --slopes

matrix: deps
	@$(MAKE) $(BUILD)/mutant/bm-bench
	@$(BUILD)/mutant/bm-bench --matrix --mutants --per-label 0 --pairs 10000

clean:
	rm -rf build build-address build-thread target
